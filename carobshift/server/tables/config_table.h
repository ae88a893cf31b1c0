// The configuration in force at this entry.
//
//   std::shared_ptr<const ActiveConfig> config = table.current();
//   if (!config) ...  // nothing accepted yet
//
// Thread-safe; a reader keeps its snapshot for the whole request, so one
// request never sees two versions. Lock order: see docs/CONTRIBUTING.md.

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
  // From the SHA-256 of a bearer key to its client account.
  std::unordered_map<std::string, AccountId> accounts_by_digest;

  // The client account that owns the key, or null. The key is hashed before
  // it is compared, so the time taken says nothing about a declared key.
  [[nodiscard]] const AccountSpec* Authenticate(std::string_view key) const;
};

class ConfigTable : public StateSource {
 public:
  // Null until a configuration was accepted.
  [[nodiscard]] std::shared_ptr<const ActiveConfig> current() const;

  // Puts a version in force; false if one as high is already in force, so
  // that no path can bring an older one back.
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
