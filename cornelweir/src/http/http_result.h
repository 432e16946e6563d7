#ifndef CORNELWEIR_SRC_HTTP_HTTP_RESULT_H_
#define CORNELWEIR_SRC_HTTP_HTTP_RESULT_H_

#include <utility>
#include <variant>

#include "cornelweir/src/http/http_error.h"

namespace cornelweir::http {

// A value or an http_error. Callbacks receive it instead of leaf::result, whose error objects are
// valid only during the call that created them.
template <class T>
// NOLINTNEXTLINE(bugprone-exception-escape)
class http_result {
 public:
  http_result(T value) : state_(std::move(value)) {}  // NOLINT(google-explicit-constructor)
  http_result(http_error error) : state_(error) {}    // NOLINT(google-explicit-constructor)

  explicit operator bool() const { return std::holds_alternative<T>(state_); }

  const T& value() const { return std::get<T>(state_); }
  T& value() { return std::get<T>(state_); }
  const http_error& error() const { return std::get<http_error>(state_); }

 private:
  std::variant<T, http_error> state_;
};

}  // namespace cornelweir::http

#endif  // CORNELWEIR_SRC_HTTP_HTTP_RESULT_H_
