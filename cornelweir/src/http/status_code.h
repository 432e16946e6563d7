#ifndef CORNELWEIR_SRC_HTTP_STATUS_CODE_H_
#define CORNELWEIR_SRC_HTTP_STATUS_CODE_H_

#include <cstdint>
#include <optional>

namespace cornelweir::http {

// The status code of a response, 100 to 599. RFC 9110, section 15, calls all others invalid, so
// none of them can be stored, and none can stand for a response that is missing.
class status_code {
 public:
  // A code that is known at compile time; an invalid one does not compile.
  // NOLINTNEXTLINE(google-explicit-constructor)
  consteval status_code(int value) : status_code(Parse(value).value()) {}

  // Returns nullopt if the code, as received, is invalid.
  static constexpr std::optional<status_code> Parse(std::int64_t value) {
    if (value < kMin || value > kMax) return std::nullopt;
    return status_code(checked{static_cast<int>(value)});
  }

  constexpr int value() const { return value_; }
  // Whether a final response to the same request follows.
  constexpr bool is_interim() const { return value_ / 100 == 1; }
  constexpr bool is_success() const { return value_ / 100 == 2; }
  constexpr bool is_server_error() const { return value_ / 100 == 5; }

  friend constexpr bool operator==(status_code, status_code) = default;
  friend constexpr bool operator==(status_code code, int value) { return code.value_ == value; }

 private:
  struct checked {
    int value;
  };
  static constexpr std::int64_t kMin = 100;
  static constexpr std::int64_t kMax = 599;

  constexpr explicit status_code(checked code) : value_(code.value) {}

  int value_;
};

}  // namespace cornelweir::http

#endif  // CORNELWEIR_SRC_HTTP_STATUS_CODE_H_
