// Splits a stream of server-sent events into complete events. The gateway
// forwards only complete events, so that a broken stream can resume after the
// last one.
//
//   EventSplitter splitter;
//   if (!splitter.Feed(bytes,
//                      [&](const StreamEvent& event) { Send(event.bytes); }))
//     ...  // an event is too long, or there is no room for it
//   if (!splitter.at_boundary()) ...  // the stream ended within an event
//
// An endpoint in trouble may send an event that never ends. Such an event is
// given up at kMaxEventBytes, or above ByteBudget::kSmallBytes if all buffered
// bytes together would exceed what the budget grants to answers. Each of its
// bytes is searched once or, at the end of a read, twice.
//
// Thread-compatible.

#ifndef CAROBSHIFT_GATEWAY_REQUEST_EVENT_SPLITTER_H_
#define CAROBSHIFT_GATEWAY_REQUEST_EVENT_SPLITTER_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "carobshift/base/byte_budget.h"
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

  static constexpr std::size_t kMaxEventBytes = std::size_t{1} << 20;

  // Buffered bytes count against `budget`, which must outlive the splitter.
  // Null for no bound in sum.
  explicit EventSplitter(ByteBudget* budget = nullptr)
      : held_(budget, ByteImportance::kAnswer) {}

  // Calls `on_event` for each event that `bytes` completes, in order. Returns
  // false at an event, complete or not, that exceeds kMaxEventBytes, or at an
  // incomplete one that exceeds the budget; the stream can't be read any
  // further then.
  [[nodiscard]] bool Feed(std::string_view bytes, const OnEvent& on_event);

  // True if no incomplete event is buffered.
  [[nodiscard]] bool at_boundary() const { return partial_.empty(); }
  [[nodiscard]] std::size_t buffered_bytes() const { return partial_.size(); }
  // Discards a buffered incomplete event, before another endpoint resumes the
  // stream.
  void DropPartial() {
    std::string().swap(partial_);
    partial_line_ = 0;
    held_.Release();
  }

 private:
  std::string partial_;
  // Where the last line of `partial_`, which isn't complete, begins.
  std::size_t partial_line_ = 0;
  // Of the capacity of `partial_`.
  ByteReservation held_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_REQUEST_EVENT_SPLITTER_H_
