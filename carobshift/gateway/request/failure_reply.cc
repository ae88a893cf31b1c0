#include "carobshift/gateway/request/failure_reply.h"

#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace carobshift {
namespace {

// Formats seconds with a fraction. Whole seconds would be useless to callers
// whose deadlines are a few hundred milliseconds away.
std::string FormatSeconds(Milliseconds time) {
  constexpr double kMillisecondsPerSecond = 1000;
  std::array<char, 32> text;
  const int size =
      std::snprintf(text.data(), text.size(), "%.3f",
                    static_cast<double>(time.count()) / kMillisecondsPerSecond);
  return {text.data(), static_cast<std::size_t>(size)};
}

}  // namespace

HttpHead FailureHead(int status, std::optional<Milliseconds> retry_after) {
  HttpHead head;
  head.status = status;
  head.fields.push_back({"Content-Type", "application/json"});
  if (retry_after)
    head.fields.push_back({"Retry-After", FormatSeconds(*retry_after)});
  return head;
}

std::string FailureBody(ResultCode code, std::string_view run_state) {
  return nlohmann::json{{"error",
                         {{"code", static_cast<int>(code)},
                          {"name", ResultCodeName(code)},
                          {"run_state", run_state}}}}
      .dump();
}

}  // namespace carobshift
