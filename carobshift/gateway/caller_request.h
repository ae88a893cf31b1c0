// A caller's request in the product's own terms, and what a reply says beside
// its body. The dialect that callers and endpoints speak fills them in.

#ifndef CAROBSHIFT_GATEWAY_CALLER_REQUEST_H_
#define CAROBSHIFT_GATEWAY_CALLER_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/net_address.h"
#include "carobshift/base/units.h"
#include "carobshift/net/http_message.h"

namespace carobshift {

// One part of a prompt, shared by all requests that name the same id.
struct PromptPart {
  std::string id;
  Tokens tokens = 0;
};

struct PromptTraits {
  ModelName model;
  Tokens prompt_tokens = 0;
  Tokens max_output_tokens = 0;
  // In order; the last one belongs to this request.
  std::vector<PromptPart> parts;

  // The last part that other requests may share; null if there is none.
  [[nodiscard]] const PromptPart* SessionPart() const {
    return parts.size() < 2 ? nullptr : &parts[parts.size() - 2];
  }
};

// The id of an event in a stream; events count upwards.
using EventNumber = StrongType<struct EventNumberTag, std::uint64_t>;

// Requests a second.
using RequestRate = StrongType<struct RequestRateTag, double>;

struct CallerRequest {
  RequestId id;
  std::string method;
  // Path and query, as sent.
  std::string target;
  std::string host;
  std::string key;
  // How long the caller will wait, from the arrival on.
  std::optional<Milliseconds> time_left;
  std::optional<PromptTraits> prompt;
  // The caller has the events up to this one.
  std::optional<EventNumber> last_event;
  // Fields to hand on to the endpoint, without those that the system sets.
  std::vector<HttpField> fields;
  std::string body;
};

// What the system says to an endpoint beside the caller's own words.
struct AttemptFields {
  // Only this endpoint may run the request.
  EndpointId endpoint;
  Milliseconds time_left{0};
  std::optional<AccountId> account;
  std::optional<EventNumber> last_event;
  // 0 is the most urgent.
  std::optional<int> urgency;
  // Only weights of this version may run it.
  std::optional<WeightNumber> weights;
  // Cached parts are found only under the same text.
  std::string cache_scope;
  // One for each part of the prompt, where the part is to be read from or kept.
  std::vector<std::optional<NetAddress>> fetch_from;
  std::vector<std::optional<NetAddress>> save_to;
  // One address serves all parts.
  bool single_store = false;
  // A fetch that has not ended by then, on the endpoints' clock, is dropped.
  std::optional<WallTime> fetch_until;
};

// What a reply's head says, beside status and body.
struct ReplyFacts {
  // The request that it answers, if it says so.
  std::optional<RequestId> request;
  // The endpoint has not run the request and will not.
  bool not_run = false;
  // Another endpoint or other weights answered than were asked for.
  bool misdirected = false;
  std::optional<EndpointId> endpoint;
  std::optional<WeightNumber> weights;
  // That the endpoint takes from all instances together.
  std::optional<RequestRate> rate_limit;
  // It names a limit that can't be read, or is no rate.
  bool bad_rate_limit = false;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_CALLER_REQUEST_H_
