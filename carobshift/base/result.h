// Result<T> holds a value or an error; Status holds success or an error.
// Package interfaces report failures through them and throw no exceptions.
//
//   Result<LogOffset> offset = log.Append(stream, payload);
//   if (!offset.ok())
//     return offset.error();
//   Use(offset.value());

#ifndef CAROBSHIFT_BASE_RESULT_H_
#define CAROBSHIFT_BASE_RESULT_H_

#include <optional>
#include <string>
#include <system_error>
#include <utility>
#include <variant>

#include "carobshift/base/result_code.h"

namespace carobshift {

// A result code and a message for operators and callers. The message holds no
// prompt text, key or secret.
struct Error {
  ResultCode code = ResultCode::kInternal;
  std::string message;

  [[nodiscard]] std::error_code error_code() const {
    return make_error_code(code);
  }
  friend bool operator==(const Error&, const Error&) = default;
};

// Holds a T or an Error. Call `value()` only if `ok()`, and `error()` only if
// not; std::bad_variant_access is thrown otherwise.
template <typename T>
class [[nodiscard]] Result {
 public:
  Result(T value) : state_(std::move(value)) {}      // NOLINT: implicit
  Result(Error error) : state_(std::move(error)) {}  // NOLINT: implicit

  [[nodiscard]] bool ok() const { return state_.index() == 0; }
  [[nodiscard]] const T& value() const& { return std::get<0>(state_); }
  [[nodiscard]] T& value() & { return std::get<0>(state_); }
  [[nodiscard]] T&& value() && { return std::get<0>(std::move(state_)); }
  [[nodiscard]] const Error& error() const { return std::get<1>(state_); }

 private:
  std::variant<T, Error> state_;
};

// Success without a value, or an error.
class [[nodiscard]] Status {
 public:
  Status() = default;
  Status(Error error) : error_(std::move(error)) {}  // NOLINT: implicit

  [[nodiscard]] bool ok() const { return !error_.has_value(); }
  [[nodiscard]] const Error& error() const { return *error_; }

 private:
  std::optional<Error> error_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_BASE_RESULT_H_
