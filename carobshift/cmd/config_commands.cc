// Subcommands of `config`: check, show, diff, publish, history.

#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <set>
#include <thread>

#include "carobshift/base/digest.h"
#include "carobshift/cmd/cli_command.h"
#include "carobshift/cmd/entry_client.h"
#include "carobshift/config/acceptance.h"
#include "carobshift/config/config_record.h"
#include "carobshift/config/declaration_diff.h"
#include "carobshift/config/declaration_parser.h"
#include "carobshift/external/http_instance_list.h"
#include "carobshift/external/http_log_service.h"

namespace carobshift {
namespace {

constexpr std::size_t kMaxRecords = 256;
constexpr Milliseconds kReadWait{200};
constexpr Milliseconds kPollInterval{10};

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in)
    return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(in), {});
}

// Reads the config stream of the log and decides its edits.
class ConfigLog {
 public:
  explicit ConfigLog(const CliOptions& options)
      : service_(*options.log, HttpOptions()) {}

  // Reads one batch; returns true if there may be more records.
  Result<bool> ReadBatch(Milliseconds wait) {
    auto batch = service_.Read(LogStream(kConfigStream), fold_.next(),
                               kMaxRecords, wait);
    if (!batch.ok())
      return batch.error();
    for (EditDecision& decision : fold_.OnBatch(batch.value()))
      decisions_.push_back(std::move(decision));
    return batch.value().records.size() == kMaxRecords;
  }

  Status ReadToEnd() {
    while (true) {
      const auto more = ReadBatch(Milliseconds(0));
      if (!more.ok())
        return more.error();
      if (!more.value())
        return {};
    }
  }

  Result<LogOffset> Append(const EditRecord& record) {
    const auto payload = EncodeConfigRecord(record);
    if (!payload.ok())
      return payload.error();
    return service_.Append(LogStream(kConfigStream), payload.value());
  }

  [[nodiscard]] std::shared_ptr<const AcceptedConfig> in_force() const {
    return fold_.in_force();
  }
  [[nodiscard]] const std::vector<EditDecision>& decisions() const {
    return decisions_;
  }

 private:
  HttpLogService service_;
  ConfigStateMachine fold_;
  std::vector<EditDecision> decisions_;
};

// The declaration of the file named by the only operand, with its text.
struct CheckedFile {
  std::string text;
  Declaration declaration;
};

std::optional<CheckedFile> ReadChecked(const std::vector<std::string>& operands,
                                       ExitCode& exit) {
  if (operands.size() != 1) {
    exit = ReportError(ExitCode::kUsage, "expected one FILE");
    return std::nullopt;
  }
  auto text = ReadFile(operands[0]);
  if (!text) {
    exit = ReportError(ExitCode::kUsage, "cannot read " + operands[0]);
    return std::nullopt;
  }
  DeclarationResult parsed = ParseDeclaration(*text);
  if (!parsed.declaration) {
    exit = ReportError(ExitCode::kInvalidConfig, parsed.ProblemText());
    return std::nullopt;
  }
  return CheckedFile{std::move(*text), std::move(*parsed.declaration)};
}

ExitCode Check(const CliOptions& options,
               const std::vector<std::string>& operands) {
  ExitCode exit = ExitCode::kOk;
  const auto file = ReadChecked(operands, exit);
  if (!file)
    return exit;
  if (options.json) {
    std::cout << R"({"valid":true})" << std::endl;
  } else {
    std::cout << "valid: " << file->declaration.services.size() << " services, "
              << file->declaration.accounts.size() << " client accounts"
              << std::endl;
  }
  return ExitCode::kOk;
}

std::unique_ptr<ConfigLog> OpenLog(const CliOptions& options, ExitCode& exit) {
  if (!options.log) {
    exit = ReportError(ExitCode::kUsage, "--log is needed");
    return nullptr;
  }
  auto log = std::make_unique<ConfigLog>(options);
  const Status read = log->ReadToEnd();
  if (!read.ok()) {
    exit = ReportError(ExitCode::kUnreachable, read.error().message);
    return nullptr;
  }
  return log;
}

ExitCode Show(const CliOptions& options, const std::vector<std::string>&) {
  ExitCode exit = ExitCode::kOk;
  const auto log = OpenLog(options, exit);
  if (!log)
    return exit;
  if (!log->in_force())
    return ReportError(ExitCode::kFailed, "nothing was accepted yet");
  std::cerr << "version " << log->in_force()->version << ", edit "
            << log->in_force()->edit << std::endl;
  std::cout << log->in_force()->text;
  return ExitCode::kOk;
}

// A checked file, and the log to compare it with or to publish it to.
struct FileAndLog {
  CheckedFile file;
  std::unique_ptr<ConfigLog> log;
};

// Returns nullopt and sets `exit` if either can't be read.
std::optional<FileAndLog> ReadEdit(const CliOptions& options,
                                   const std::vector<std::string>& operands,
                                   ExitCode& exit) {
  auto file = ReadChecked(operands, exit);
  if (!file)
    return std::nullopt;
  auto log = OpenLog(options, exit);
  if (!log)
    return std::nullopt;
  return FileAndLog{std::move(*file), std::move(log)};
}

ExitCode Diff(const CliOptions& options,
              const std::vector<std::string>& operands) {
  ExitCode exit = ExitCode::kOk;
  const auto edit = ReadEdit(options, operands, exit);
  if (!edit)
    return exit;
  const CheckedFile& file = edit->file;
  ConfigLog& log = *edit->log;
  const Declaration none;
  const auto lines = DescribeChanges(
      log.in_force() ? log.in_force()->declaration : none, file.declaration);
  if (options.json) {
    std::cout << nlohmann::json(lines) << std::endl;
    return ExitCode::kOk;
  }
  for (const std::string& line : lines)
    std::cout << line << '\n';
  if (lines.empty())
    std::cout << "nothing changes\n";
  return ExitCode::kOk;
}

ExitCode History(const CliOptions& options, const std::vector<std::string>&) {
  ExitCode exit = ExitCode::kOk;
  const auto log = OpenLog(options, exit);
  if (!log)
    return exit;
  for (const EditDecision& decision : log->decisions()) {
    const std::string winner =
        decision.winner ? decision.winner->value() : std::string();
    if (options.json) {
      std::cout << nlohmann::json(
                       {{"offset", decision.offset.value()},
                        {"edit", decision.edit.value()},
                        {"outcome", EditOutcomeName(decision.outcome)},
                        {"winner", winner},
                        {"reason", decision.reason}})
                << '\n';
    } else {
      std::cout << decision.offset << "  " << decision.edit << "  "
                << EditOutcomeName(decision.outcome) << "  " << decision.reason
                << '\n';
    }
  }
  return ExitCode::kOk;
}

// Reads the log until the edit is decided. This also resolves an append whose
// reply was lost, without appending again.
std::optional<EditDecision> AwaitDecision(ConfigLog& log,
                                          const EditId& edit,
                                          MonotonicTime deadline) {
  std::size_t seen = 0;
  while (MonotonicNow() < deadline) {
    const auto read = log.ReadBatch(kReadWait);
    if (!read.ok())
      std::this_thread::sleep_for(kPollInterval);
    for (; seen < log.decisions().size(); ++seen) {
      if (log.decisions()[seen].edit == edit)
        return log.decisions()[seen];
    }
  }
  return std::nullopt;
}

std::set<NetAddress> LiveEntries(const CliOptions& options) {
  std::set<NetAddress> entries;
  if (options.entry)
    entries.insert(*options.entry);
  if (!options.instance_list)
    return entries;
  HttpInstanceList list(*options.instance_list, HttpOptions());
  const auto instances = list.Fetch();
  if (!instances.ok())
    return entries;
  for (const ListedInstance& instance : instances.value()) {
    if (instance.kind == InstanceKind::kEntry &&
        instance.state == InstanceState::kLive) {
      entries.insert(instance.address);
    }
  }
  return entries;
}

bool HasInForce(const NetAddress& entry, ConfigVersion version) {
  EntryClient client(entry, "", Milliseconds(500));
  const auto ready = client.FetchJson("/readyz");
  return ready.ok() && ready.value()["config_version"].is_number() &&
         ready.value()["config_version"].get<std::uint64_t>() >=
             version.value();
}

// Returns the entries that don't have the version in force by the deadline.
std::set<NetAddress> AwaitInForce(std::set<NetAddress> entries,
                                  ConfigVersion version,
                                  MonotonicTime deadline) {
  while (!entries.empty() && MonotonicNow() < deadline) {
    std::erase_if(entries, [&](const NetAddress& entry) {
      return HasInForce(entry, version);
    });
    if (!entries.empty())
      std::this_thread::sleep_for(kPollInterval);
  }
  return entries;
}

ExitCode ReportRefused(const EditDecision& decision) {
  const std::string winner =
      decision.winner ? decision.winner->value() : std::string("none");
  if (decision.outcome == EditOutcome::kLostRace) {
    return ReportError(ExitCode::kLostRace, "lost the race to edit " + winner +
                                                ": " + decision.reason);
  }
  return ReportError(ExitCode::kInvalidConfig, decision.reason);
}

ExitCode Publish(const CliOptions& options,
                 const std::vector<std::string>& operands) {
  ExitCode exit = ExitCode::kOk;
  const auto edit = ReadEdit(options, operands, exit);
  if (!edit)
    return exit;
  const CheckedFile& file = edit->file;
  ConfigLog& log = *edit->log;
  EditRecord record;
  record.edit = EditId("edit-" + HexEncode(RandomBytes(8)));
  record.base = options.base;
  if (!record.base && log.in_force())
    record.base = log.in_force()->version;
  record.text = file.text;

  const MonotonicTime begin = MonotonicNow();
  const MonotonicTime deadline = begin + options.timeout;
  const auto appended = log.Append(record);
  if (!appended.ok() &&
      appended.error().code != ResultCode::kLogOutcomeUnknown) {
    return ReportError(ExitCode::kUnreachable,
                       "not published: " + appended.error().message);
  }
  const auto decision = AwaitDecision(log, record.edit, deadline);
  if (!decision) {
    return ReportError(ExitCode::kOutcomeUnknown,
                       "edit " + record.edit.value() +
                           " may be on the log; see `config history`");
  }
  if (decision->outcome != EditOutcome::kAccepted)
    return ReportRefused(*decision);

  const ConfigVersion version(decision->offset.value());
  const std::set<NetAddress> entries = LiveEntries(options);
  const std::set<NetAddress> missing = AwaitInForce(entries, version, deadline);
  const auto took =
      std::chrono::duration_cast<Milliseconds>(MonotonicNow() - begin);
  if (!missing.empty()) {
    std::string names;
    for (const NetAddress& entry : missing)
      names += " " + entry.ToString();
    return ReportError(ExitCode::kNotInForce,
                       "accepted as version " +
                           std::to_string(version.value()) +
                           ", not in force at" + names);
  }
  if (options.json) {
    std::cout << nlohmann::json({{"edit", record.edit.value()},
                                 {"version", version.value()},
                                 {"entries", entries.size()},
                                 {"in_force_ms", took.count()}})
              << std::endl;
  } else {
    std::cout << "edit " << record.edit << " is version " << version
              << ", in force on " << entries.size() << " entries after "
              << took.count() << " ms" << std::endl;
  }
  return ExitCode::kOk;
}

}  // namespace

const std::vector<CliCommand>& ConfigCommands() {
  static const std::vector<CliCommand> kCommands = {
      {"config check", "FILE", "report all faults of a declaration",
       "carobshift config check deployment.yaml", Check},
      {"config show", "", "print the accepted declaration",
       "carobshift config show --log 10.0.0.5:7000 > deployment.yaml", Show},
      {"config diff", "FILE", "say what an edit would do",
       "carobshift config diff deployment.yaml --log 10.0.0.5:7000", Diff},
      {"config publish", "FILE",
       "publish an edit and wait until every live entry has it in force",
       "carobshift config publish deployment.yaml --log 10.0.0.5:7000 "
       "--instance-list 10.0.0.6:7001 --base 41",
       Publish},
      {"config history", "", "list the edits and what became of each",
       "carobshift config history --log 10.0.0.5:7000", History}};
  return kCommands;
}

}  // namespace carobshift
