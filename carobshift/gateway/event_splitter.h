// Cuts a stream of server-sent events into whole events, so that only whole
// ones are handed on and a broken stream can go on after the last of them.
//
//   EventSplitter splitter;
//   splitter.Feed(bytes, [&](const StreamEvent& event) { Send(event.bytes); });
//   if (!splitter.at_boundary()) ...  // the stream ended within an event
//
// Thread-compatible.

#ifndef CAROBSHIFT_GATEWAY_EVENT_SPLITTER_H_
#define CAROBSHIFT_GATEWAY_EVENT_SPLITTER_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "carobshift/gateway/caller_request.h"

namespace carobshift {

struct StreamEvent {
  // With the empty line at its end.
  std::string_view bytes;
  // Of its id line, if it has one.
  std::optional<EventNumber> number;
};

class EventSplitter {
 public:
  using OnEvent = std::function<void(const StreamEvent&)>;

  // Calls `on_event` for each event that `bytes` completes, in order.
  void Feed(std::string_view bytes, const OnEvent& on_event);

  // Whether no part of an event is held back.
  [[nodiscard]] bool at_boundary() const { return partial_.empty(); }
  [[nodiscard]] std::size_t held() const { return partial_.size(); }
  // Forgets a part of an event, before another endpoint's stream goes on.
  void DropPartial() { partial_.clear(); }

 private:
  std::string partial_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_EVENT_SPLITTER_H_
