// Authenticates requests that one instance hands over to another, and states in
// the reply whether the request ran.
//
//   SealHandoff({.from = self, .to = peer, .to_incarnation = incarnation},
//   body,
//               secret, head);
//   ...
//   const OpenedHandoff opened = OpenHandoff(head, body, self, incarnation,
//                                            secret);
//   if (opened.rejection != HandoffRejection::kNone) ...
//
// The message authentication code covers the method, the target, all header
// fields and the body, and names the process that may accept the request: a
// recorded request is worth nothing at another instance or after a restart. A
// request is sealed at most once, so that it can't be handed on.
//
// Pure, and therefore thread-safe.

#ifndef CAROBSHIFT_GATEWAY_HANDOFF_HANDOFF_CODEC_H_
#define CAROBSHIFT_GATEWAY_HANDOFF_HANDOFF_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "carobshift/base/ids.h"
#include "carobshift/gateway/streams/stream_beginning.h"
#include "carobshift/net/http_message.h"

namespace carobshift {

// Name of the reply's field with a HandoffState. It never reaches callers.
inline constexpr std::string_view kHandoffStateField = "Carobshift-Handoff";

// What a reply to a handed-over request is.
enum class HandoffState {
  // An endpoint's answer.
  kAnswer,
  // A refusal: no endpoint has run the request or will run it.
  kNotRun,
  // A failure after which the request may have run.
  kOutcomeUnknown,
};

struct HandoffParties {
  EntryId from;
  EntryId to;
  Incarnation to_incarnation{};
};

enum class HandoffRejection {
  kNone,
  // The request has no seal, or parts of one.
  kNotSealed,
  kSealedTwice,
  kOtherInstance,
  kBadCode,
};

// Returns the reason for logs.
[[nodiscard]] std::string_view HandoffRejectionName(HandoffRejection rejection);

// Adds the fields of the seal to `head`. Fields of these names that the caller
// sent are removed.
void SealHandoff(const HandoffParties& parties,
                 std::string_view body,
                 const std::string& secret,
                 HttpHead& head);

struct OpenedHandoff {
  HandoffRejection rejection = HandoffRejection::kNone;
  // Set if the request was accepted.
  EntryId from;
};

// Verifies the seal and removes it from `head`.
[[nodiscard]] OpenedHandoff OpenHandoff(std::string_view body,
                                        const EntryId& self,
                                        Incarnation incarnation,
                                        const std::string& secret,
                                        HttpHead& head);

// Names of the fields with the service and the software version that began a
// stream. A request has both if its stream has begun; the reply has the latter,
// which never reaches callers.
inline constexpr std::string_view kStreamServiceField =
    "Carobshift-Stream-Service";
inline constexpr std::string_view kStreamSoftwareField =
    "Carobshift-Stream-Software";

// To be called before SealHandoff(). Fields of these names that the caller sent
// are removed.
void SetStreamBeginning(const std::optional<StreamBeginning>& beginning,
                        HttpHead& head);
// Removes the fields from the head of a request that was opened.
[[nodiscard]] std::optional<StreamBeginning> TakeStreamBeginning(
    HttpHead& head);

void SetHandoffState(HandoffState state, HttpHead& head);
// Returns nullopt if the head has no valid state.
[[nodiscard]] std::optional<HandoffState> HandoffStateOf(const HttpHead& head);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_HANDOFF_HANDOFF_CODEC_H_
