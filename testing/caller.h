// A caller of the system, as a test sees it: asks for addresses, streams
// completions and checks every token against the answer function, makes
// bookings.
//
//   Caller caller(cluster.EntryAddresses(), kClubKey);
//   CompletionOutcome outcome = caller.Complete({.prompt = "..."});
//   REQUIRE(outcome.whole);

#ifndef TESTING_CALLER_H_
#define TESTING_CALLER_H_

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "carobshift/base/net_address.h"
#include "carobshift/base/units.h"
#include "testing/http_client.h"

namespace carobshift {

struct CompletionCall {
  std::string prompt;
  Tokens max_tokens = 64;
  std::string conversation{};
  std::vector<std::pair<std::string, std::string>> headers{};
  Milliseconds timeout{10000};
  // Called after each token; false disconnects.
  std::function<bool(Tokens count)> on_token{};
};

struct CompletionOutcome {
  // 0 if the entry gave no answer.
  int status = 0;
  std::string text;
  Tokens tokens = 0;
  // The final frame arrived and everything in it fits the text.
  bool whole = false;
  // Some token is not what the answer function gives.
  bool wrong = false;
  std::string version;
  // For the operators' /debug/requests/{id}.
  std::string request_id;
  nlohmann::json usage;
  // The connection to the entry has failed or was closed.
  bool connection_failed = false;
  // The typed error, as answer or as the last event; null if none.
  nlohmann::json error;
  Microseconds first_token{0};

  // What every caller must get: the whole answer or a typed error, and never
  // a wrong token.
  [[nodiscard]] bool WholeOrTypedError() const {
    return !wrong && (whole || error.is_object());
  }
};

struct BookingOutcome {
  int status = 0;
  std::string body;
  nlohmann::json error;
  // "not_run", "outcome_unknown" or "ran"; empty without a typed error.
  std::string run_state;
};

class Caller {
 public:
  // `versions` are the weight versions that may answer.
  Caller(std::vector<NetAddress> entries,
         std::string key,
         std::vector<std::string> versions = {"v1"});

  // The entries to use for a conversation, best first, asked of the first
  // entry that answers; empty if none does. Takes the key prefix with it.
  std::vector<NetAddress> AskAddresses(const std::string& conversation);
  [[nodiscard]] const std::string& key_prefix() const { return key_prefix_; }

  // At the best entry of the conversation.
  CompletionOutcome Complete(const CompletionCall& call);
  CompletionOutcome CompleteAt(const NetAddress& entry,
                               const CompletionCall& call) const;

  BookingOutcome BookAt(const NetAddress& entry,
                        const std::string& body,
                        const std::string& idempotency_key,
                        Milliseconds timeout = Milliseconds(10000)) const;

 private:
  [[nodiscard]] std::vector<std::pair<std::string, std::string>> Headers()
      const;

  std::vector<NetAddress> entries_;
  std::string key_;
  std::vector<std::string> versions_;
  std::string key_prefix_;
};

}  // namespace carobshift

#endif  // TESTING_CALLER_H_
