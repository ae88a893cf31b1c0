// A caller's request, the fields that the gateway adds to an attempt, and the
// metadata of an endpoint's reply, independent of the wire format.
// RequestDialect converts between these types and HTTP.

#ifndef CAROBSHIFT_GATEWAY_REQUEST_CALLER_REQUEST_H_
#define CAROBSHIFT_GATEWAY_REQUEST_CALLER_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/net_address.h"
#include "carobshift/base/shared_bytes.h"
#include "carobshift/base/units.h"
#include "carobshift/net/http_message.h"

namespace carobshift {

// One part of a prompt. Requests that name the same id share the part.
struct PromptPart {
  std::string id;
  Tokens tokens = 0;
};

struct PromptTraits {
  ModelName model;
  Tokens prompt_tokens = 0;
  Tokens max_output_tokens = 0;
  // In prompt order. The last part is specific to this request.
  std::vector<PromptPart> parts;

  // Returns the last part that other requests may share, or null if there is
  // none.
  [[nodiscard]] const PromptPart* SessionPart() const {
    return parts.size() < 2 ? nullptr : &parts[parts.size() - 2];
  }
};

// The id of a server-sent event. Ids increase within a stream.
using EventNumber = StrongType<struct EventNumberTag, std::uint64_t>;

// In requests per second.
using RequestRate = StrongType<struct RequestRateTag, double>;

struct CallerRequest {
  RequestId id;
  std::string method;
  // Path and query, as received.
  std::string target;
  std::string host;
  std::string key;
  // How long the caller waits, counted from the arrival of the request.
  std::optional<Milliseconds> time_left;
  std::optional<PromptTraits> prompt;
  // The caller has already received the events up to and including this one.
  std::optional<EventNumber> last_event;
  // The caller's earlier request that brought the first event of the stream,
  // if this one continues a stream and names it.
  std::optional<RequestId> stream_beginning;
  // The request names an earlier one in a way that can't be read.
  bool bad_stream_beginning = false;
  // Header fields forwarded to the endpoint, without those that the gateway
  // sets.
  HttpFields fields;
  SharedBytes body;
  // Handed over by another instance, to which the reply states whether the
  // request ran.
  bool handed_over = false;

  // Memory that serving the request takes for its head, in bytes, about: the
  // fields are kept and sent on; each part of the prompt is kept by the
  // request, its footprint and the tables of loads and suspects.
  [[nodiscard]] std::size_t capacity() const {
    constexpr std::size_t kPartBytes = 256;
    const std::size_t parts = prompt ? prompt->parts.size() : 0;
    return 2 * fields.capacity() + target.capacity() + host.capacity() +
           key.capacity() + id.value().capacity() + parts * kPartBytes;
  }
};

// Header fields that the gateway adds to a request when it sends it to an
// endpoint.
struct AttemptFields {
  // Only this endpoint may run the request.
  EndpointId endpoint;
  Milliseconds time_left{0};
  std::optional<AccountId> account;
  std::optional<EventNumber> last_event;
  // 0 is the most urgent.
  std::optional<int> urgency;
  // The request may run only on weights of this version.
  std::optional<WeightNumber> weights;
  // A cached prompt part is found only by requests with the same scope.
  std::string cache_scope;
  // One entry for each part of the prompt: the store from which the part is
  // fetched, or in which it is saved.
  std::vector<std::optional<NetAddress>> fetch_from;
  std::vector<std::optional<NetAddress>> save_to;
  // The same store address applies to all parts.
  bool single_store = false;
  // The endpoint abandons a fetch that is still incomplete at this time, by its
  // own clock.
  std::optional<WallTime> fetch_until;
};

// Metadata from a reply's header fields, in addition to status and body.
struct ReplyMetadata {
  // The request that the reply answers, if the reply names one.
  std::optional<RequestId> request;
  // The endpoint has not run the request and will not run it.
  bool not_run = false;
  // The reply comes from another endpoint or other weights than the attempt
  // named.
  bool misdirected = false;
  std::optional<EndpointId> endpoint;
  std::optional<WeightNumber> weights;
  // The endpoint's software, if the reply comes through another instance.
  std::optional<SoftwareVersion> software;
  // The rate that the endpoint accepts from all instances together.
  std::optional<RequestRate> rate_limit;
  // The reply names a rate limit that can't be parsed or isn't a valid rate.
  bool bad_rate_limit = false;
  // How long the endpoint stays cold, if the reply states it.
  std::optional<Milliseconds> cold_remaining;
  // The reply states a cold time that isn't a valid one.
  bool bad_cold_time = false;
  // The rejections for lack of room that the endpoint bears in a second, from
  // all instances together. All replies of a service's endpoints state it while
  // it holds; a reply to a request that ran ends it by not stating it.
  std::optional<RequestRate> rejection_limit;
  // The reply states a rejection limit that isn't a number of at least 0.
  bool bad_rejection_limit = false;
  // The endpoint states that it leaves.
  bool leaving = false;
  // The reply has the field for that with another value.
  bool bad_leaving = false;
  // The endpoint has turned the request away and wants nothing from this
  // instance for so long.
  std::optional<Milliseconds> pause;
  // The reply states a pause that isn't a number of at least 0.
  bool bad_pause = false;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_REQUEST_CALLER_REQUEST_H_
