// Splits a stream of server-sent events into complete events. The gateway
// forwards only complete events, so that a broken stream can resume after the
// last one.
//
//   EventSplitter splitter;
//   splitter.Feed(bytes, [&](const StreamEvent& event) { Send(event.bytes); });
//   if (!splitter.at_boundary()) ...  // the stream ended within an event
//
// Thread-compatible.

#ifndef CAROBSHIFT_GATEWAY_REQUEST_EVENT_SPLITTER_H_
#define CAROBSHIFT_GATEWAY_REQUEST_EVENT_SPLITTER_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "carobshift/gateway/request/caller_request.h"

namespace carobshift {

struct StreamEvent {
  // Includes the empty line that ends the event. Valid only during the
  // callback.
  std::string_view bytes;
  // The number in the event's id line, if it has one.
  std::optional<EventNumber> number;
};

class EventSplitter {
 public:
  using OnEvent = std::function<void(const StreamEvent&)>;

  // Calls `on_event` for each event that `bytes` completes, in order.
  void Feed(std::string_view bytes, const OnEvent& on_event);

  // True if no incomplete event is buffered.
  [[nodiscard]] bool at_boundary() const { return partial_.empty(); }
  [[nodiscard]] std::size_t buffered_bytes() const { return partial_.size(); }
  // Discards a buffered incomplete event, before another endpoint resumes the
  // stream.
  void DropPartial() { partial_.clear(); }

 private:
  std::string partial_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_REQUEST_EVENT_SPLITTER_H_
