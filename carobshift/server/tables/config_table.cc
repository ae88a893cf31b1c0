#include "carobshift/server/tables/config_table.h"

#include <utility>

#include "carobshift/base/digest.h"

namespace carobshift {

const AccountSpec* ActiveConfig::Authenticate(std::string_view key) const {
  const auto it = accounts_by_digest.find(Sha256Hex(key));
  return it == accounts_by_digest.end() ? nullptr
                                        : declaration.FindAccount(it->second);
}

std::shared_ptr<const ActiveConfig> ConfigTable::current() const {
  const std::lock_guard lock(mutex_);
  return current_;
}

bool ConfigTable::Activate(ConfigVersion version,
                           EditId edit,
                           std::string text,
                           Declaration declaration) {
  if (const auto active = current(); active && version <= active->version)
    return false;
  auto fresh = std::make_shared<ActiveConfig>();
  fresh->version = version;
  fresh->edit = std::move(edit);
  fresh->text = std::move(text);
  fresh->declaration = std::move(declaration);
  for (const AccountSpec& account : fresh->declaration.accounts) {
    for (const std::string& digest : account.key_sha256)
      fresh->accounts_by_digest.emplace(digest, account.id);
  }
  const std::lock_guard lock(mutex_);
  if (current_ && version <= current_->version)
    return false;
  current_ = std::move(fresh);
  return true;
}

nlohmann::json ConfigTable::DumpState() const {
  const auto config = current();
  if (!config)
    return {{"version", nullptr}};
  return {{"version", config->version.value()},
          {"edit", config->edit.value()},
          {"services", config->declaration.services.size()},
          {"accounts", config->declaration.accounts.size()}};
}

}  // namespace carobshift
