// The configuration in force at this entry.
//
//   std::shared_ptr<const ActiveConfig> config = table.current();
//   if (!config) ...  // nothing accepted yet
//
// Thread-safe. A reader keeps its snapshot for the whole request, so one
// request never sees two versions. For the lock order see docs/CONTRIBUTING.md.

#ifndef CAROBSHIFT_SERVER_TABLES_CONFIG_TABLE_H_
#define CAROBSHIFT_SERVER_TABLES_CONFIG_TABLE_H_

#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>

#include "carobshift/base/ids.h"
#include "carobshift/config/declaration.h"
#include "carobshift/telemetry/state_source.h"

namespace carobshift {

struct ActiveConfig {
  ConfigVersion version;
  EditId edit;
  std::string text;
  Declaration declaration;
  // Maps the SHA-256 of a bearer key to its client account.
  std::unordered_map<std::string, AccountId> accounts_by_digest;

  // The client account that owns the key, or null. The key is hashed before the
  // lookup, so the response time reveals nothing about a declared key.
  [[nodiscard]] const AccountSpec* Authenticate(std::string_view key) const;
};

class ConfigTable : public StateSource {
 public:
  // Null until a configuration is accepted.
  [[nodiscard]] std::shared_ptr<const ActiveConfig> current() const;

  // Puts a version in force. False if the version in force is the same or
  // newer, so that a late caller can't restore an older one.
  bool Activate(ConfigVersion version,
                EditId edit,
                std::string text,
                Declaration declaration);

  [[nodiscard]] nlohmann::json DumpState() const override;

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const ActiveConfig> current_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_TABLES_CONFIG_TABLE_H_
