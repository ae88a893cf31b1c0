// ByteBudget bounds the bytes that a process holds from other parties in sum,
// however many of them send at once.
//
//   ByteBudget budget(kMaxReplyBytes);
//   ByteReservation held(&budget, ByteImportance::kOptional);
//   if (!held.GrowTo(buffer_size))
//     Fail("no budget");
//   // The destructor gives the bytes back.
//
// As in an overload manager, what matters least is refused first, by how full
// the budget is:
//
// - Replies that grow beyond kSmallBytes and aren't required fill half of it at
//   most. A few parties that send without end don't keep out the others, whose
//   replies are small.
// - All replies that aren't required fill three quarters of it at most.
// - Required ones fill all of it.
// - Up to kSmallBytes of a caller's answer are counted and never refused: a
//   sound stream must not end for what other parties send. Beyond, answers
//   fill half of it at most.
//
// - Requests up to kOrdinaryBytes may fill all of it, those up to kSmallBytes
//   seven eighths, larger ones three quarters: a few large bodies, or many
//   large heads, don't keep out the ordinary ones.
//
// A BudgetedBuffer is a text with its reservation.
//
// Nothing is refused with an exception. Thread-compatible: one event loop.

#ifndef CAROBSHIFT_BASE_BYTE_BUDGET_H_
#define CAROBSHIFT_BASE_BYTE_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <utility>

namespace carobshift {

enum class ByteImportance {
  // Without these bytes, work costs more.
  kOptional,
  // Without these bytes, an instance can't do its work.
  kRequired,
  // Without these bytes, a caller loses its answer.
  kAnswer,
  // Without these bytes, a caller's request is refused before it has run.
  kRequest,
};

class ByteBudget {
 public:
  static constexpr std::size_t kSmallBytes = std::size_t{64} << 10;
  // A request that isn't out of the common, with what serving it takes.
  static constexpr std::size_t kOrdinaryBytes = std::size_t{16} << 10;

  explicit ByteBudget(std::size_t limit) : limit_(limit) {}
  ByteBudget(const ByteBudget&) = delete;
  ByteBudget& operator=(const ByteBudget&) = delete;

  [[nodiscard]] std::size_t limit() const { return limit_; }
  // The largest request for which there is ever room.
  [[nodiscard]] std::size_t LargestRequest() const {
    return LimitFor(limit_, ByteImportance::kRequest);
  }
  [[nodiscard]] std::size_t held() const { return held_; }
  // Reservations that were refused.
  [[nodiscard]] std::uint64_t refusals() const { return refusals_; }

 private:
  friend class ByteReservation;

  // How full the budget may be with a reservation of `size` bytes in it.
  [[nodiscard]] std::size_t LimitFor(std::size_t size,
                                     ByteImportance importance) const {
    const bool is_small = size <= kSmallBytes;
    switch (importance) {
      case ByteImportance::kRequired:
        break;
      case ByteImportance::kRequest:
        if (size <= kOrdinaryBytes)
          return limit_;
        return is_small ? limit_ / 8 * 7 : limit_ / 4 * 3;
      case ByteImportance::kAnswer:
        return is_small ? std::numeric_limits<std::size_t>::max() : limit_ / 2;
      case ByteImportance::kOptional:
        return is_small ? limit_ / 4 * 3 : limit_ / 2;
    }
    return limit_;
  }

  std::size_t limit_;
  std::size_t held_ = 0;
  std::uint64_t refusals_ = 0;
};

// The bytes that one buffer takes of a budget, which must outlive it.
class ByteReservation {
 public:
  // Without a budget, nothing is refused.
  ByteReservation() = default;
  ByteReservation(ByteBudget* budget, ByteImportance importance)
      : budget_(budget), importance_(importance) {}
  ~ByteReservation() { Release(); }
  ByteReservation(ByteReservation&& other) noexcept {
    *this = std::move(other);
  }
  ByteReservation& operator=(ByteReservation&& other) noexcept {
    if (this == &other)
      return *this;
    Release();
    budget_ = other.budget_;
    importance_ = other.importance_;
    size_ = std::exchange(other.size_, 0);
    return *this;
  }

  // Reserves `size` bytes altogether. Returns false, and reserves nothing more,
  // if the budget is too full. Fewer bytes than before are not given back.
  [[nodiscard]] bool GrowTo(std::size_t size) {
    if (size <= size_)
      return true;
    const std::size_t more = size - size_;
    if (budget_ != nullptr) {
      const std::size_t limit = budget_->LimitFor(size, importance_);
      if (budget_->held_ > limit || more > limit - budget_->held_) {
        ++budget_->refusals_;
        return false;
      }
      budget_->held_ += more;
    }
    size_ = size;
    return true;
  }
  void Release() {
    if (budget_ != nullptr)
      budget_->held_ -= size_;
    size_ = 0;
  }
  [[nodiscard]] std::size_t size() const { return size_; }

 private:
  ByteBudget* budget_ = nullptr;
  ByteImportance importance_ = ByteImportance::kRequired;
  std::size_t size_ = 0;
};

// The memory that the text takes is reserved, which may be more than its size.
class BudgetedBuffer {
 public:
  // Without a budget, nothing is refused.
  BudgetedBuffer() = default;
  BudgetedBuffer(ByteBudget* budget, ByteImportance importance)
      : held_(budget, importance) {}

  // Returns false if there is no room for the bytes. The text is of no use then
  // and should be cleared.
  [[nodiscard]] bool Append(std::string_view bytes) {
    text_.append(bytes);
    return held_.GrowTo(text_.capacity());
  }
  // Frees the memory as well.
  void Clear() {
    std::string().swap(text_);
    held_.Release();
  }
  [[nodiscard]] const std::string& text() const { return text_; }

 private:
  std::string text_;
  ByteReservation held_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_BASE_BYTE_BUDGET_H_
