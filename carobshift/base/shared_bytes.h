// SharedBytes is an immutable text that several owners hold without copying it,
// with the reservation of its bytes: the budget gets them back once the last
// owner has dropped it.
//
//   SharedBytes body(std::move(received.body), std::move(received.reserved));
//   connection.SendShared(body);  // holds it until it is sent
//   Retry(body.view());
//
// A value type. Thread-compatible; with a reservation, all owners are on the
// budget's thread.

#ifndef CAROBSHIFT_BASE_SHARED_BYTES_H_
#define CAROBSHIFT_BASE_SHARED_BYTES_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "carobshift/base/byte_budget.h"

namespace carobshift {

class SharedBytes {
 public:
  SharedBytes() = default;
  explicit SharedBytes(std::string text, ByteReservation reserved = {})
      : held_(std::make_shared<const Held>(std::move(text),
                                           std::move(reserved))) {}

  [[nodiscard]] std::string_view view() const {
    return held_ == nullptr ? std::string_view() : held_->text;
  }
  [[nodiscard]] std::size_t size() const { return view().size(); }
  [[nodiscard]] bool empty() const { return view().empty(); }

 private:
  struct Held {
    Held(std::string bytes, ByteReservation bytes_reserved)
        : text(std::move(bytes)), reserved(std::move(bytes_reserved)) {}

    std::string text;
    ByteReservation reserved;
  };

  std::shared_ptr<const Held> held_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_BASE_SHARED_BYTES_H_
