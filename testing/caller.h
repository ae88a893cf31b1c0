// A client of the deployment for tests: fetches entry addresses, streams
// completions, checks every token against AnswerFunction, and sends bookings.
//
//   Caller caller(cluster.EntryAddresses(), kAccountKey);
//   CompletionOutcome outcome = caller.Complete({.prompt = "..."});
//   REQUIRE(outcome.complete);

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
  // Called after each token. Returning false closes the connection.
  std::function<bool(Tokens count)> on_token{};
};

struct CompletionOutcome {
  // 0 if the entry sent no response.
  int status = 0;
  std::string text;
  Tokens tokens = 0;
  // The final frame arrived, and its usage and weight version match the text.
  bool complete = false;
  // Some token differs from the output of AnswerFunction.
  bool wrong = false;
  std::string version;
  // The id to look up at /debug/requests/{id}.
  std::string request_id;
  nlohmann::json usage;
  // The connection to the entry failed, or ended within the response.
  bool connection_failed = false;
  // The typed error, from the response body or the last event. Null if there is
  // none.
  nlohmann::json error;
  Microseconds first_token{0};

  // The guarantee to every caller: a complete answer or a typed error, and no
  // wrong token.
  [[nodiscard]] bool CompleteOrTypedError() const {
    return !wrong && (complete || error.is_object());
  }
};

struct BookingOutcome {
  int status = 0;
  std::string body;
  nlohmann::json error;
  // "not_run", "outcome_unknown" or "ran". Empty without a typed error.
  std::string run_state;
};

class Caller {
 public:
  // `versions` are the weight versions whose answers are accepted.
  Caller(std::vector<NetAddress> entries,
         std::string key,
         std::vector<std::string> versions = {"v1"});

  // Returns the entries to use for a conversation, best first, from the first
  // entry that responds; empty if none does. Also stores the key prefix of the
  // response.
  std::vector<NetAddress> FetchAddresses(const std::string& conversation);
  [[nodiscard]] const std::string& key_prefix() const { return key_prefix_; }

  // Sends the call to the best entry for its conversation.
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
