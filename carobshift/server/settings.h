// Settings of one entry process, read from a flat YAML file. Each key is also a
// command-line flag.
//
//   Result<Settings> settings = LoadSettings(yaml_text, flag_values);
//   if (!settings.ok()) Print(settings.error().message);
//
// Unknown keys and values out of range are rejected. All errors are reported
// together, each with line, column, key and the allowed values.
// docs/CONFIGURATION.md lists every key with its default, unit, range and
// reason.

#ifndef CAROBSHIFT_SERVER_SETTINGS_H_
#define CAROBSHIFT_SERVER_SETTINGS_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/net_address.h"
#include "carobshift/base/result.h"
#include "carobshift/base/units.h"
#include "carobshift/telemetry/event_log.h"

namespace carobshift {

struct Settings {
  EntryId entry;
  ZoneName zone;
  RegionName region;
  // Port 0 lets the system choose a port. Gossip uses the same port number on
  // UDP.
  NetAddress listen;
  NetAddress log;
  NetAddress instance_list;
  std::string secret_file;
  LogLevel log_level = LogLevel::kInfo;

  int http_threads = 1024;
  int max_connections = 2048;
  int max_header_fields = 64;
  Bytes max_body_bytes = 4 << 20;
  // In MiB.
  int memory_mb = 160;
  Milliseconds read_timeout{10000};
  Milliseconds keep_alive_timeout{15000};
  Milliseconds default_deadline{60000};

  Milliseconds address_ttl{10000};
  Milliseconds list_poll_interval{500};
  Milliseconds status_poll_interval{200};
  Milliseconds platform_timeout{2000};
  Milliseconds gossip_interval{500};
  Milliseconds lease_duration{3000};
  Milliseconds order_timeout{1000};
  Milliseconds clock_drift{200};
  Milliseconds key_lifetime{60000};
  Milliseconds key_replay_window{120000};
};

// Describes one key, for parsing, flags and documentation.
struct SettingRow {
  std::string_view key;
  std::string_view unit;
  std::string_view allowed;
  bool required = false;
  // Parses `text` into its field of `settings`. False if the value is not
  // allowed.
  bool (*assign)(Settings& settings, const std::string& text) = nullptr;
};

[[nodiscard]] const std::vector<SettingRow>& SettingRows();

// Flags override the file. The message of kInvalidSettings lists every error,
// one per line.
[[nodiscard]] Result<Settings> LoadSettings(
    const std::string& yaml_text,
    const std::map<std::string, std::string>& flags);

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_SETTINGS_H_
