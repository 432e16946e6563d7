#ifndef CORNELWEIR_SRC_HTTP_HTTP_ERROR_H_
#define CORNELWEIR_SRC_HTTP_HTTP_ERROR_H_

#include <cstdint>
#include <string_view>

namespace cornelweir::http {

enum class http_fault : std::uint8_t {
  kBadEndpoint,
  kListenFailed,
  kConnectFailed,
  kPoolExhausted,
  kTimeout,
  kConnectionBroken,
  kMalformed,
  kTooLarge,
  kCancelled,
};

// The reason why an HTTP exchange failed.
struct http_error {
  http_fault fault = http_fault::kConnectionBroken;
  // Whether any byte of the request was written to a connection. If not, the request did not run.
  bool sent = false;

  friend bool operator==(const http_error&, const http_error&) = default;
};

// Returns a description in lower case, such as "connect failed".
std::string_view FaultName(http_fault fault);

}  // namespace cornelweir::http

#endif  // CORNELWEIR_SRC_HTTP_HTTP_ERROR_H_
