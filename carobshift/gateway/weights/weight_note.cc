#include "carobshift/gateway/weights/weight_note.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace carobshift {

std::string EncodeWeightNote(const std::vector<WeightNaming>& namings,
                             MonotonicTime now,
                             WallTime wall_now) {
  nlohmann::json named = nlohmann::json::array();
  for (const WeightNaming& naming : namings) {
    const auto age =
        std::chrono::duration_cast<Milliseconds>(now - naming.named);
    named.push_back({{"model", naming.model.value()},
                     {"number", naming.number.value()},
                     {"age_ms", age.count()},
                     {"guess", naming.source == NamingSource::kAssumed}});
  }
  return nlohmann::json{{"written_ms", wall_now.time_since_epoch().count()},
                        {"named", std::move(named)}}
      .dump();
}

Result<std::vector<WeightNaming>> DecodeWeightNote(std::string_view text,
                                                   MonotonicTime now,
                                                   WallTime wall_now) {
  try {
    const auto json = nlohmann::json::parse(text);
    const WallTime written(
        Milliseconds(json.at("written_ms").get<std::int64_t>()));
    const Milliseconds elapsed = std::max(Milliseconds(0), wall_now - written);
    std::vector<WeightNaming> namings;
    for (const auto& named : json.at("named")) {
      const Milliseconds age(named.at("age_ms").get<std::int64_t>());
      namings.push_back({ModelName(named.at("model").get<std::string>()),
                         WeightNumber(named.at("number").get<std::uint64_t>()),
                         now - age - elapsed,
                         named.at("guess").get<bool>()
                             ? NamingSource::kAssumed
                             : NamingSource::kFromPeer});
    }
    return namings;
  } catch (const nlohmann::json::exception& error) {
    return Error{ResultCode::kMalformedRequest, error.what()};
  }
}

}  // namespace carobshift
