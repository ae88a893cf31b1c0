// Runs requests with an idempotency key. Finds the entry that owns the key,
// runs the request here or forwards it there, and returns the same answer to
// every copy of the request.
//
//   KeyedCalls keyed(context, table, peers, client);
//   keyed.SetExecutor(CallRoute::kPlain, plain_executor);
//   CallReply reply = keyed.Run(call, deadline, {});
//
// Thread-safe. Run blocks until the answer or the deadline.

#ifndef CAROBSHIFT_SERVER_ONCE_KEYED_CALLS_H_
#define CAROBSHIFT_SERVER_ONCE_KEYED_CALLS_H_

#include <array>
#include <functional>
#include <optional>
#include <string>

#include "carobshift/peer/peer_client.h"
#include "carobshift/peer/peer_server.h"
#include "carobshift/server/entry_context.h"
#include "carobshift/server/http/caller_error.h"
#include "carobshift/server/once/idempotency_table.h"
#include "carobshift/server/once/peer_directory.h"

namespace carobshift {

// Called just before the first byte of an attempt is sent. A refusal means that
// the attempt must not be made.
using DispatchGate = std::function<std::optional<Refusal>(MonotonicTime now)>;

// Receives the events of a streamed answer as they are produced; may be empty.
using LiveEvents = std::function<void(const std::string& event)>;

// Runs the requests of one route at this entry.
class KeyedExecutor {
 public:
  virtual ~KeyedExecutor() = default;
  // Blocks until the request has ended. The state of the answer is kNotRun only
  // if no byte of the request has reached an endpoint.
  virtual FinalAnswer Execute(const ForwardCall& call,
                              MonotonicTime deadline,
                              const DispatchGate& gate,
                              const LiveEvents& live) = 0;
};

class KeyedCalls {
 public:
  KeyedCalls(EntryContext& context,
             IdempotencyTable& table,
             PeerDirectory& peers,
             const PeerClient& client)
      : context_(context), table_(table), peers_(peers), client_(client) {}

  // Call before the HTTP server starts. `executor` must outlive this object.
  void SetExecutor(CallRoute route, KeyedExecutor& executor);

  // Runs a caller's request. If it runs at this entry, `live` receives the
  // events of a streamed answer; otherwise only the reply holds them.
  [[nodiscard]] CallReply Run(ForwardCall call,
                              MonotonicTime deadline,
                              const LiveEvents& live);
  // Runs a request that another entry forwarded.
  [[nodiscard]] CallReply RunForwarded(const ForwardCall& call);

  // Returns the outcome of a key. Asks the entry that owns the key if that is
  // another one.
  [[nodiscard]] CallReply QueryOutcome(const RequestId& request,
                                       const AccountId& account,
                                       const IdempotencyKey& key);
  [[nodiscard]] CallReply LocalOutcome(const RequestId& request,
                                       const AccountId& account,
                                       const IdempotencyKey& key);

 private:
  [[nodiscard]] Result<KeyedRequest> MakeRequest(const ForwardCall& call,
                                                 MonotonicTime deadline) const;
  [[nodiscard]] CallReply RunLocally(const ForwardCall& call,
                                     const KeyedRequest& request,
                                     bool may_forward,
                                     const LiveEvents& live);
  [[nodiscard]] CallReply Execute(const ForwardCall& call,
                                  const KeyedRequest& request,
                                  const LiveEvents& live);
  [[nodiscard]] CallReply Forward(const EntryId& entry,
                                  Incarnation incarnation,
                                  const PeerRequest& message,
                                  const RequestId& request,
                                  MonotonicTime deadline);
  [[nodiscard]] bool IsOwnedHere(const BoundKey& key) const;

  EntryContext& context_;
  IdempotencyTable& table_;
  PeerDirectory& peers_;
  const PeerClient& client_;
  std::array<KeyedExecutor*, 3> executors_{};
};

// Converts an error to the answer for the caller.
[[nodiscard]] FinalAnswer ErrorAnswer(const RequestId& request,
                                      const CallerError& error);

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_ONCE_KEYED_CALLS_H_
