// Requests under an idempotency key: finds who must run one, runs it here or
// has it run there, and gives every copy the same answer.
//
//   KeyedCalls keyed(context, table, peers, client);
//   keyed.SetExecutor(CallRoute::kPlain, plain_executor);
//   CallReply reply = keyed.Run(call, deadline, {});
//
// Thread-safe; Run blocks until the answer or the deadline.

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
#include "carobshift/server/once/once_table.h"
#include "carobshift/server/once/peer_directory.h"

namespace carobshift {

// Asked just before the first byte of an attempt may leave; an answer means
// that it must not.
using DispatchGate = std::function<std::optional<Refusal>(MonotonicTime now)>;

// Gets the events of a streamed answer as they come; may be empty.
using LiveEvents = std::function<void(const std::string& event)>;

// Runs one kind of request at this entry.
class KeyedExecutor {
 public:
  virtual ~KeyedExecutor() = default;
  // Blocks until the request has ended. The answer's state is kNotRun only if
  // no byte of it has reached an endpoint.
  virtual FinalAnswer Execute(const ForwardCall& call,
                              MonotonicTime deadline,
                              const DispatchGate& gate,
                              const LiveEvents& live) = 0;
};

class KeyedCalls {
 public:
  KeyedCalls(EntryContext& context,
             OnceTable& table,
             PeerDirectory& peers,
             const PeerClient& client)
      : context_(context), table_(table), peers_(peers), client_(client) {}

  // Before the front starts. `executor` must outlive this.
  void SetExecutor(CallRoute route, KeyedExecutor& executor);

  // A caller's request at this entry. If it runs here, `live` gets the events
  // of a streamed answer; else the reply alone holds them.
  [[nodiscard]] CallReply Run(ForwardCall call,
                              MonotonicTime deadline,
                              const LiveEvents& live);
  // One that another entry has sent on.
  [[nodiscard]] CallReply RunForwarded(const ForwardCall& call);

  // What became of a key; asks its home if that is another entry.
  [[nodiscard]] CallReply QueryOutcome(const RequestId& request,
                                       const AccountId& account,
                                       const IdempotencyKey& key);
  [[nodiscard]] CallReply OutcomeHere(const RequestId& request,
                                      const AccountId& account,
                                      const IdempotencyKey& key);

 private:
  [[nodiscard]] Result<KeyedRequest> MakeRequest(const ForwardCall& call,
                                                 MonotonicTime deadline) const;
  [[nodiscard]] CallReply RunHere(const ForwardCall& call,
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
  [[nodiscard]] bool IsMine(const BoundKey& key) const;

  EntryContext& context_;
  OnceTable& table_;
  PeerDirectory& peers_;
  const PeerClient& client_;
  std::array<KeyedExecutor*, 3> executors_{};
};

// An error as it goes to the caller.
[[nodiscard]] FinalAnswer ErrorAnswer(const RequestId& request,
                                      const CallerError& error);

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_ONCE_KEYED_CALLS_H_
