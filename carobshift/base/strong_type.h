// A distinct type for each kind of identifier, so that the compiler rejects an
// identifier of one kind where another is expected.
//
//   using AccountId = StrongType<struct AccountIdTag, std::string>;
//   AccountId account("north-tours");
//   std::string text = account.value();
//
// Values compare, order, hash and print like the wrapped representation.

#ifndef CAROBSHIFT_BASE_STRONG_TYPE_H_
#define CAROBSHIFT_BASE_STRONG_TYPE_H_

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <utility>

namespace carobshift {

// Wraps a value of type Rep. Thread-compatible, like Rep itself.
template <typename Tag, typename Rep>
class StrongType {
 public:
  StrongType() = default;
  explicit StrongType(Rep value) : value_(std::move(value)) {}

  [[nodiscard]] const Rep& value() const { return value_; }

  friend auto operator<=>(const StrongType&, const StrongType&) = default;

  friend std::ostream& operator<<(std::ostream& out, const StrongType& id) {
    return out << id.value_;
  }

 private:
  Rep value_{};
};

}  // namespace carobshift

template <typename Tag, typename Rep>
struct std::hash<carobshift::StrongType<Tag, Rep>> {
  std::size_t operator()(
      const carobshift::StrongType<Tag, Rep>& id) const noexcept {
    return std::hash<Rep>{}(id.value());
  }
};

#endif  // CAROBSHIFT_BASE_STRONG_TYPE_H_
