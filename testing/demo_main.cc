// `make demo`: a small deployment on loopback with three availability zones,
// three entries, four engines, two plain services and two KV stores. Prints
// progress and a table; writes out/demo.json and out/demo.svg. Exits with 1 if
// an answer was wrong or missing, or if a booking ran more than once.

#include <atomic>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <mutex>
#include <thread>

#include "carobshift/cache/block_chain.h"
#include "testing/caller.h"
#include "testing/cluster.h"
#include "testing/demo_report.h"

namespace carobshift {
namespace {

constexpr std::size_t kConversations = 8;
// Low enough that a phase measures service latency without queueing delay.
constexpr std::size_t kCallers = 2;
constexpr std::size_t kPromptBlocks = 32;
// Holds the conversations, but not the conversations and the other prompts
// together.
constexpr char kCacheBlocks[] = "--cache-blocks=160";
constexpr char kPrefillCost[] = "--prefill-us=200";
constexpr std::size_t kOtherPrompts = 28;

struct Conversation {
  std::string id;
  std::string text;
};

class Demo {
 public:
  Demo()
      : start_time_(MonotonicNow()),
        cluster_({.entries = 3,
                  .engines = 4,
                  .plain_services = 2,
                  .stores = 2,
                  .engine_flags = {kCacheBlocks, kPrefillCost}}),
        caller_(cluster_.EntryAddresses(), kAccountKey) {
    for (std::size_t i = 0; i < kConversations; ++i)
      conversations_.push_back(
          {"round-" + std::to_string(i), Prompt("round", i)});
    PrintProgress("3 entries, 4 engines, 2 tee desks, 2 stores serve");
  }

  int Run() {
    RunPhase("cold");
    RunPhase("warm, at once");
    EvictConversations("first");
    RunPhase("returning through a store");
    EvictConversations("second");
    cluster_.store(0).Kill();
    cluster_.store(1).Kill();
    PrintProgress("both stores killed");
    RunPhase("returning, stores dead");
    BookThreeTimes();
    KillEntryUnderLoad();
    report_.seconds = SecondsSinceStart();
    Write();
    return Succeeded() ? 0 : 1;
  }

 private:
  static std::string Prompt(const std::string& kind, std::size_t i) {
    std::string text;
    const std::string line =
        "member " + kind + " " + std::to_string(i) + " asks for a pairing; ";
    while (text.size() < kPromptBlocks * kBlockBytes)
      text += line;
    return text;
  }

  [[nodiscard]] double SecondsSinceStart() const {
    return std::chrono::duration<double>(MonotonicNow() - start_time_).count();
  }

  void PrintProgress(const std::string& what) const {
    std::cout << "[" << static_cast<int>(SecondsSinceStart()) << " s] " << what
              << std::endl;
  }

  // Runs job(0) to job(count - 1), kCallers at a time.
  static void InParallel(std::size_t count,
                         const std::function<void(std::size_t)>& job) {
    std::atomic<std::size_t> next{0};
    std::vector<std::jthread> callers;
    for (std::size_t i = 0; i < kCallers; ++i) {
      callers.emplace_back([&] {
        for (std::size_t at = next++; at < count; at = next++)
          job(at);
      });
    }
  }

  [[nodiscard]] Bytes LinkBytes() {
    Bytes bytes = 0;
    for (std::size_t i = 0; i < cluster_.stores(); ++i) {
      const nlohmann::json status =
          HttpSend(cluster_.store(i).address(), "GET", "/status").Json();
      if (status.is_object())
        bytes += status["link_bytes_in"].get<Bytes>() +
                 status["link_bytes_out"].get<Bytes>();
    }
    return bytes;
  }

  void RunPhase(const std::string& name) {
    DemoPhase phase;
    phase.name = name;
    const Bytes link_before = LinkBytes();
    std::mutex mutex;
    InParallel(kConversations, [&](std::size_t i) {
      Conversation& conversation = conversations_[i];
      conversation.text += " What about " + name + "?";
      Caller caller = caller_;
      const CompletionOutcome outcome = caller.Complete(
          {.prompt = conversation.text, .conversation = conversation.id});
      conversation.text += outcome.text;
      const std::lock_guard lock(mutex);
      Count(outcome, phase);
    });
    phase.link_bytes = std::max<Bytes>(0, LinkBytes() - link_before);
    report_.phases.push_back(phase);
    PrintProgress(name + ": " + std::to_string(phase.complete) + " of " +
                  std::to_string(kConversations) + " answers whole");
  }

  static void Count(const CompletionOutcome& outcome, DemoPhase& phase) {
    phase.wrong += outcome.wrong ? 1 : 0;
    if (!outcome.complete) {
      ++phase.errors;
      return;
    }
    ++phase.complete;
    phase.first_tokens.push_back(outcome.first_token);
    phase.prompt_tokens += outcome.usage.at("prompt_tokens").get<Tokens>();
    const nlohmann::json& details = outcome.usage.at("prompt_tokens_details");
    phase.cached_tokens += details.at("cached_tokens").get<Tokens>();
    phase.imported_tokens += details.value("imported_tokens", Tokens{0});
  }

  // Waits until the store links are idle. Exports continue in the background
  // after the answers have been sent.
  void AwaitExports() {
    constexpr Milliseconds kQuietPeriod{700};
    constexpr Milliseconds kLimit{10000};
    Bytes last = LinkBytes();
    MonotonicTime changed = MonotonicNow();
    (void)WaitUntil(
        [&] {
          const Bytes bytes = LinkBytes();
          if (bytes != last)
            changed = MonotonicNow();
          last = bytes;
          return MonotonicNow() - changed > kQuietPeriod;
        },
        kLimit);
  }

  void EvictConversations(const std::string& round) {
    SendOtherPrompts(round + " morning");
    AwaitExports();
    SendOtherPrompts(round + " evening");
    PrintProgress("a long gap: other prompts took the engines' memory");
  }

  void SendOtherPrompts(const std::string& round) {
    InParallel(kOtherPrompts / 2, [&](std::size_t i) {
      Caller caller = caller_;
      (void)caller.Complete({.prompt = Prompt("other " + round, i),
                             .max_tokens = 1,
                             .conversation = "other-" + std::to_string(i)});
    });
  }

  void BookThreeTimes() {
    const std::string booking = R"({"tee":"Lahore 1","slot":"08:10"})";
    const auto addresses = caller_.FetchAddresses("booking");
    const std::string key = caller_.key_prefix() + "lahore-0810";
    std::string first;
    constexpr int kTimes = 3;
    for (int i = 0; i < kTimes && !addresses.empty(); ++i) {
      const BookingOutcome outcome =
          caller_.BookAt(addresses.front(), booking, key);
      ++report_.booking_attempts;
      if (first.empty())
        first = outcome.body;
      if (outcome.status == 200 && outcome.body == first)
        ++report_.booking_answers;
    }
    report_.booking_runs = cluster_.Runs(booking);
    PrintProgress("a booking sent three times ran " +
                  std::to_string(report_.booking_runs) + " time(s)");
  }

  // Kills an entry under load. Each client retries at the next address, as
  // docs/CALLERS.md requires.
  void KillEntryUnderLoad() {
    constexpr std::size_t kCalls = 40;
    constexpr std::size_t kKillAfterCalls = 10;
    const std::vector<NetAddress> entries = cluster_.EntryAddresses();
    std::atomic<std::size_t> done{0};
    std::atomic<int> complete{0};
    std::atomic<int> errors{0};
    std::atomic<int> wrong{0};
    std::jthread load([&] {
      InParallel(kCalls, [&](std::size_t i) {
        for (std::size_t attempt = 0; attempt < entries.size(); ++attempt) {
          const CompletionOutcome outcome = caller_.CompleteAt(
              entries[(i + attempt) % entries.size()],
              {.prompt = "short question " + std::to_string(i)});
          wrong += outcome.wrong ? 1 : 0;
          complete += outcome.complete ? 1 : 0;
          if (outcome.complete)
            break;
          ++errors;
        }
        ++done;
      });
    });
    (void)WaitUntil([&] { return done >= kKillAfterCalls; });
    cluster_.entry(2).Kill();
    load.join();
    report_.answers_during_kill = complete;
    report_.typed_errors_during_kill = errors;
    report_.wrong_during_kill = wrong;
    PrintProgress("an entry killed under load: " + std::to_string(complete) +
                  " of " + std::to_string(kCalls) +
                  " callers got their whole answer");
    report_.phases.back().wrong += wrong;
    all_answered_ = complete == static_cast<int>(kCalls);
  }

  [[nodiscard]] bool Succeeded() const {
    bool good = all_answered_ && report_.booking_runs == 1 &&
                report_.booking_answers == report_.booking_attempts;
    for (const DemoPhase& phase : report_.phases)
      good = good && phase.wrong == 0 && phase.errors == 0;
    return good;
  }

  void Write() const {
    std::filesystem::create_directories("out");
    std::ofstream("out/demo.json") << JsonOf(report_);
    std::ofstream("out/demo.svg") << SvgOf(report_);
    std::cout << "\n"
              << TableOf(report_) << "figures: out/demo.json, out/demo.svg"
              << std::endl;
  }

  const MonotonicTime start_time_;
  Cluster cluster_;
  Caller caller_;
  std::vector<Conversation> conversations_;
  DemoReport report_;
  bool all_answered_ = false;
};

}  // namespace
}  // namespace carobshift

int main() {
  try {
    carobshift::Demo demo;
    return demo.Run();
  } catch (const std::exception& error) {
    std::cerr << "demo failed: " << error.what() << std::endl;
    return 1;
  }
}
