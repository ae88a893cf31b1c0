// RecentSaves remembers which parts were lately ordered to be saved in a store,
// so that they aren't sent there again before the store can have reported them.
//
//   if (!recent_saves.Contains(scope, part, now))
//     SaveIn(store);
//   recent_saves.Add(scope, part, now);  // once the save is ordered
//
// Thread-compatible. State: kMaxParts times at most, if no more are ordered
// within kRetryInterval.

#ifndef CAROBSHIFT_GATEWAY_PLACEMENT_RECENT_SAVES_H_
#define CAROBSHIFT_GATEWAY_PLACEMENT_RECENT_SAVES_H_

#include <cstddef>
#include <map>
#include <string>

#include "carobshift/base/units.h"

namespace carobshift {

class RecentSaves {
 public:
  // By then the store has reported the complete part, or the save has failed.
  static constexpr Milliseconds kRetryInterval{3000};
  static constexpr std::size_t kMaxParts = 4096;

  [[nodiscard]] bool Contains(const std::string& scope,
                              const std::string& part,
                              MonotonicTime now) const {
    const auto found = saves_.find(Key(scope, part));
    return found != saves_.end() && now - found->second < kRetryInterval;
  }

  void Add(const std::string& scope,
           const std::string& part,
           MonotonicTime now) {
    if (saves_.size() >= kMaxParts) {
      std::erase_if(saves_, [now](const auto& save) {
        return now - save.second >= kRetryInterval;
      });
    }
    saves_[Key(scope, part)] = now;
  }

 private:
  static std::string Key(const std::string& scope, const std::string& part) {
    return scope + '\n' + part;
  }

  std::map<std::string, MonotonicTime> saves_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_PLACEMENT_RECENT_SAVES_H_
