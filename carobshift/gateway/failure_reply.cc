#include "carobshift/gateway/failure_reply.h"

#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace carobshift {
namespace {

// Seconds with a fraction: callers whose deadlines are some hundred
// milliseconds away could do nothing with whole seconds.
std::string SecondsText(Milliseconds time) {
  constexpr double kMillisecondsPerSecond = 1000;
  std::array<char, 32> text;
  const int size =
      std::snprintf(text.data(), text.size(), "%.3f",
                    static_cast<double>(time.count()) / kMillisecondsPerSecond);
  return {text.data(), static_cast<std::size_t>(size)};
}

}  // namespace

HttpHead FailureHead(int status, std::optional<Milliseconds> return_after) {
  HttpHead head;
  head.status = status;
  head.fields.push_back({"Content-Type", "application/json"});
  if (return_after)
    head.fields.push_back({"Retry-After", SecondsText(*return_after)});
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
