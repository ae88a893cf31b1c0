#include "carobshift/telemetry/metrics.h"

#include <catch2/catch.hpp>

namespace carobshift {

TEST_CASE("counters add up per series and labels are escaped") {
  Metrics metrics;
  metrics.Add("requests", {{"service", "a\"b"}}, 1);
  metrics.Add("requests", {{"service", "a\"b"}}, 2);
  CHECK(metrics.Value("requests", {{"service", "a\"b"}}) == 3);
  CHECK(metrics.PrometheusText() == "requests{service=\"a\\\"b\"} 3\n");
}

TEST_CASE("a histogram counts every observation, also out of its range") {
  Metrics metrics;
  metrics.Observe("wait", {}, Microseconds(1));
  metrics.Observe("wait", {}, Milliseconds(5));
  metrics.Observe("wait", {}, Seconds(1000));
  const std::string text = metrics.PrometheusText();
  CHECK(text.find("wait_count 3") != std::string::npos);
  CHECK(text.find("wait_bucket{le=\"100\"} 2") != std::string::npos);
  CHECK(text.find("wait_bucket{le=\"+Inf\"} 3") != std::string::npos);
}

}  // namespace carobshift
