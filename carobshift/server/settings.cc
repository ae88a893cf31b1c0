#include "carobshift/server/settings.h"

#include <yaml-cpp/yaml.h>

#include <charconv>
#include <set>

#include "carobshift/server/caller_memory.h"

namespace carobshift {
namespace {

constexpr Bytes kBytesPerMebibyte = 1 << 20;

template <auto Member>
bool AssignText(Settings& settings, const std::string& text) {
  using Field = std::remove_reference_t<decltype(settings.*Member)>;
  if (text.empty())
    return false;
  settings.*Member = Field(text);
  return true;
}

template <auto Member, bool AllowPortZero>
bool AssignAddress(Settings& settings, const std::string& text) {
  if (AllowPortZero && text.ends_with(":0") && text.size() > 2) {
    settings.*Member = NetAddress{text.substr(0, text.size() - 2), 0};
    return true;
  }
  const auto address = ParseNetAddress(text);
  if (address)
    settings.*Member = *address;
  return address.has_value();
}

bool ParseInteger(const std::string& text, long long& number) {
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  return error == std::errc() && stop == end;
}

template <auto Member, long long Low, long long High>
bool AssignNumber(Settings& settings, const std::string& text) {
  using Field = std::remove_reference_t<decltype(settings.*Member)>;
  long long number = 0;
  if (!ParseInteger(text, number) || number < Low || number > High)
    return false;
  settings.*Member = Field(number);
  return true;
}

bool AssignLogLevel(Settings& settings, const std::string& text) {
  const auto level = LogLevelFromName(text);
  if (level)
    settings.log_level = *level;
  return level.has_value();
}

constexpr std::string_view kText = "text, not empty";
constexpr std::string_view kAddress = "HOST:PORT, port 1 to 65535";

std::string Location(const YAML::Mark& mark) {
  return "line " + std::to_string(mark.line + 1) + ", column " +
         std::to_string(mark.column + 1);
}

const SettingRow* FindRow(std::string_view key) {
  for (const SettingRow& row : SettingRows()) {
    if (row.key == key)
      return &row;
  }
  return nullptr;
}

// Assigns values and collects all errors, so that they are reported together.
class Loader {
 public:
  void Assign(const std::string& location,
              const std::string& key,
              const std::string& text) {
    const SettingRow* row = FindRow(key);
    if (row == nullptr) {
      AddFault(location, key, "unknown key");
      return;
    }
    seen_.insert(key);
    if (!row->assign(settings_, text)) {
      AddFault(location, key,
               "\"" + text + "\" is not allowed; expected " +
                   std::string(row->allowed));
    }
  }

  void AddFault(const std::string& location,
                const std::string& key,
                const std::string& what) {
    if (!faults_.empty())
      faults_ += '\n';
    faults_ += location + ": " + key + ": " + what;
  }

  Result<Settings> Finish() {
    for (const SettingRow& row : SettingRows()) {
      if (row.required && !seen_.contains(std::string(row.key))) {
        AddFault("settings", std::string(row.key),
                 "missing; expected " + std::string(row.allowed));
      }
    }
    const Bytes largest =
        LargestBody(Bytes{settings_.memory_mb} * kBytesPerMebibyte);
    if (settings_.max_body_bytes > largest) {
      AddFault("settings", "max_body_bytes",
               "expected at most " + std::to_string(largest) +
                   ", for which memory_mb has room");
    }
    if (!faults_.empty())
      return Error{ResultCode::kInvalidSettings, faults_};
    return settings_;
  }

 private:
  Settings settings_;
  std::set<std::string> seen_;
  std::string faults_;
};

void AssignFromYaml(const YAML::Node& root, Loader& loader) {
  if (!root.IsMap()) {
    loader.AddFault(Location(root.Mark()), "settings",
                    "expected a map of keys");
    return;
  }
  std::set<std::string> keys;
  for (const auto& item : root) {
    const std::string location = Location(item.first.Mark());
    const std::string key = item.first.as<std::string>("");
    if (!keys.insert(key).second) {
      loader.AddFault(location, key, "given twice");
    } else if (!item.second.IsScalar()) {
      loader.AddFault(location, key, "expected a single value");
    } else {
      loader.Assign(location, key, item.second.Scalar());
    }
  }
}

}  // namespace

const std::vector<SettingRow>& SettingRows() {
  using S = Settings;
  static const std::vector<SettingRow> kRows = {
      {"entry", "", kText, true, AssignText<&S::entry>},
      {"zone", "", kText, true, AssignText<&S::zone>},
      {"region", "", kText, false, AssignText<&S::region>},
      {"listen", "", "HOST:PORT, port 0 to 65535", true,
       AssignAddress<&S::listen, true>},
      {"log", "", kAddress, true, AssignAddress<&S::log, false>},
      {"instance_list", "", kAddress, true,
       AssignAddress<&S::instance_list, false>},
      {"secret_file", "", kText, true, AssignText<&S::secret_file>},
      {"log_level", "", "debug, info, warning or error", false, AssignLogLevel},
      {"http_threads", "threads", "8 to 4096", false,
       AssignNumber<&S::http_threads, 8, 4096>},
      {"max_connections", "connections", "8 to 65536", false,
       AssignNumber<&S::max_connections, 8, 65536>},
      {"max_header_fields", "fields", "8 to 1000", false,
       AssignNumber<&S::max_header_fields, 8, 1000>},
      {"max_body_bytes", "bytes", "1024 to 67108864", false,
       AssignNumber<&S::max_body_bytes, 1024, 67108864>},
      {"memory_mb", "MiB", "48 to 65536", false,
       AssignNumber<&S::memory_mb, 48, 65536>},
      {"read_timeout_ms", "ms", "100 to 600000", false,
       AssignNumber<&S::read_timeout, 100, 600000>},
      {"keep_alive_timeout_ms", "ms", "100 to 600000", false,
       AssignNumber<&S::keep_alive_timeout, 100, 600000>},
      {"default_deadline_ms", "ms", "100 to 3600000", false,
       AssignNumber<&S::default_deadline, 100, 3600000>},
      {"address_ttl_ms", "ms", "100 to 600000", false,
       AssignNumber<&S::address_ttl, 100, 600000>},
      {"list_poll_interval_ms", "ms", "50 to 60000", false,
       AssignNumber<&S::list_poll_interval, 50, 60000>},
      {"status_poll_interval_ms", "ms", "50 to 60000", false,
       AssignNumber<&S::status_poll_interval, 50, 60000>},
      {"platform_timeout_ms", "ms", "50 to 60000", false,
       AssignNumber<&S::platform_timeout, 50, 60000>},
      {"gossip_interval_ms", "ms", "20 to 60000", false,
       AssignNumber<&S::gossip_interval, 20, 60000>},
      {"lease_duration_ms", "ms", "500 to 600000", false,
       AssignNumber<&S::lease_duration, 500, 600000>},
      {"order_timeout_ms", "ms", "50 to 60000", false,
       AssignNumber<&S::order_timeout, 50, 60000>},
      {"clock_drift_ms", "ms", "0 to 60000", false,
       AssignNumber<&S::clock_drift, 0, 60000>},
      {"key_lifetime_ms", "ms", "1000 to 86400000", false,
       AssignNumber<&S::key_lifetime, 1000, 86400000>},
      {"key_replay_window_ms", "ms", "1000 to 86400000", false,
       AssignNumber<&S::key_replay_window, 1000, 86400000>},
  };
  return kRows;
}

Result<Settings> LoadSettings(const std::string& yaml_text,
                              const std::map<std::string, std::string>& flags) {
  Loader loader;
  try {
    const YAML::Node root = YAML::Load(yaml_text);
    if (!root.IsNull())
      AssignFromYaml(root, loader);
  } catch (const YAML::ParserException& e) {
    loader.AddFault(Location(e.mark), "settings", e.msg);
  }
  for (const auto& [key, text] : flags)
    loader.Assign("flag --" + key, key, text);
  return loader.Finish();
}

}  // namespace carobshift
