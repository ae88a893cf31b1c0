// Subcommands that inspect an entry: state, top, explain, version.

#include <Poco/URI.h>

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <thread>

#include "carobshift/base/digest.h"
#include "carobshift/base/operator_key.h"
#include "carobshift/cmd/cli_command.h"
#include "carobshift/cmd/entry_client.h"

namespace carobshift {
namespace {

constexpr std::string_view kVersion = "0.1.0";
constexpr Seconds kTopInterval{1};

std::optional<EntryClient> OpenEntry(const CliOptions& options) {
  if (!options.entry || options.secret.empty()) {
    ReportError(ExitCode::kUsage, "--entry and --secret-file are needed");
    return std::nullopt;
  }
  return EntryClient(*options.entry, OperatorKey(options.secret),
                     options.timeout);
}

// Prints nested values as rows of the form "path  value".
void PrintRows(const nlohmann::json& value, const std::string& path) {
  if (value.is_object()) {
    for (const auto& [key, child] : value.items())
      PrintRows(child, path.empty() ? key : path + "." + key);
  } else if (value.is_array()) {
    for (std::size_t i = 0; i < value.size(); ++i)
      PrintRows(value[i], path + "[" + std::to_string(i) + "]");
  } else {
    std::cout << std::left << std::setw(48) << path << value << '\n';
  }
}

ExitCode State(const CliOptions& options, const std::vector<std::string>&) {
  auto client = OpenEntry(options);
  if (!client)
    return ExitCode::kUsage;
  const auto state = client->FetchJson("/debug/state");
  if (!state.ok())
    return ReportError(ExitCode::kUnreachable, state.error().message);
  if (options.json) {
    std::cout << state.value().dump(2) << std::endl;
  } else {
    PrintRows(state.value(), "");
  }
  return ExitCode::kOk;
}

void PrintTop(const nlohmann::json& state) {
  const nlohmann::json none = nlohmann::json::object();
  const auto section = [&](const char* name) {
    return state.contains(name) ? state[name] : none;
  };
  std::cout << "entry " << section("entry").value("id", "?") << "  config "
            << section("config").value("version", nlohmann::json())
            << "  requests in progress "
            << section("requests").value("in_progress", 0) << '\n';
  std::cout << std::left << std::setw(16) << "endpoint" << std::setw(16)
            << "role" << std::setw(12) << "version" << std::setw(9) << "running"
            << std::setw(8) << "queued"
            << "leaving" << '\n';
  const auto endpoints =
      section("endpoints").value("endpoints", nlohmann::json::array());
  for (const nlohmann::json& row : endpoints) {
    std::cout << std::setw(16) << row.value("id", "") << std::setw(16)
              << row.value("role", "") << std::setw(12)
              << row.value("version", "") << std::setw(9)
              << row.value("running", 0) << std::setw(8)
              << row.value("queued", 0)
              << (row.value("leaving", false) ? "yes" : "no") << '\n';
  }
  std::cout << std::endl;
}

ExitCode Top(const CliOptions& options, const std::vector<std::string>&) {
  auto client = OpenEntry(options);
  if (!client)
    return ExitCode::kUsage;
  for (int round = 0; options.count == 0 || round < options.count; ++round) {
    if (round > 0)
      std::this_thread::sleep_for(kTopInterval);
    const auto state = client->FetchJson("/debug/state");
    if (!state.ok())
      return ReportError(ExitCode::kUnreachable, state.error().message);
    PrintTop(state.value());
  }
  return ExitCode::kOk;
}

ExitCode Explain(const CliOptions& options,
                 const std::vector<std::string>& operands) {
  auto client = OpenEntry(options);
  if (!client)
    return ExitCode::kUsage;
  if (operands.size() != 1)
    return ReportError(ExitCode::kUsage, "expected one REQUEST_ID");
  const auto record = client->FetchJson("/debug/requests/" + operands[0]);
  if (!record.ok())
    return ReportError(ExitCode::kFailed, record.error().message);
  if (options.json) {
    std::cout << record.value().dump(2) << std::endl;
    return ExitCode::kOk;
  }
  std::cout << record.value().value("service", "") << " for "
            << record.value().value("account", "") << ": "
            << record.value().value("result", "in progress") << '\n';
  for (nlohmann::json step : record.value()["steps"]) {
    std::cout << std::right << std::setw(10) << std::fixed
              << std::setprecision(1) << step.value("after_ms", 0.0) << " ms  "
              << step.value("what", "");
    step.erase("after_ms");
    step.erase("what");
    std::cout << "  " << step << '\n';
  }
  return ExitCode::kOk;
}

ExitCode Version(const CliOptions& options, const std::vector<std::string>&) {
  if (options.json) {
    std::cout << nlohmann::json({{"version", kVersion}}) << std::endl;
  } else {
    std::cout << "carobshift " << kVersion << std::endl;
  }
  return ExitCode::kOk;
}

}  // namespace

const std::vector<CliCommand>& OperatorCommands() {
  static const std::vector<CliCommand> kCommands = {
      {"state", "", "print an entry's whole state",
       "carobshift state --entry 10.0.0.1:8080 --secret-file secret --json",
       State},
      {"top", "", "watch an entry's endpoints",
       "carobshift top --entry 10.0.0.1:8080 --secret-file secret", Top},
      {"explain", "REQUEST_ID", "say what was decided about a request, and why",
       "carobshift explain entry-1-0f3a... --entry 10.0.0.1:8080", Explain},
      {"version", "", "print the version", "carobshift version", Version}};
  return kCommands;
}

}  // namespace carobshift
