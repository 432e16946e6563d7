#ifndef CORNELWEIR_SRC_HTTP_FORWARD_RESULT_H_
#define CORNELWEIR_SRC_HTTP_FORWARD_RESULT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "cornelweir/src/http/header_list.h"
#include "cornelweir/src/http/http_error.h"
#include "cornelweir/src/http/status_code.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::http {

// How an attempt to forward a request ended.
enum class forward_status : std::uint8_t {
  // The whole response was sent to the caller.
  kComplete,
  // No byte of the request was written to a connection, and nothing was sent to the caller.
  kNotSent,
  // The connection failed before a response started; nothing was sent to the caller.
  kBrokenBeforeResponse,
  // The upstream's connection failed during the response; the caller's connection was closed.
  kBrokenDuringResponse,
  // If the response had started, the caller's connection was closed; otherwise nothing was sent.
  kTimeout,
  // The caller closed its connection, or sent a malformed, too large or too slow body and
  // received an error response.
  kCallerGone,
  // The handler declined the response; nothing was sent to the caller.
  kDeclined,
};

// Returns a description in lower case, such as "not sent".
std::string_view ForwardStatusName(forward_status status);

// The result of an attempt to forward a request.
struct forward_result {
  forward_status outcome = forward_status::kNotSent;
  // Whether any byte of the request was written to a connection.
  bool sent = false;
  // Whether the response to the caller had started.
  bool responded = false;
  // Why there was no response; for kNotSent, kBrokenBeforeResponse and kTimeout.
  http_fault fault = http_fault::kConnectionBroken;
  // Status and headers of the upstream's response; empty without a response.
  std::optional<status_code> status;
  header_list headers;
  // Time from the first byte written to the upstream to its response header, or to the end of the
  // attempt if there was none.
  kernel::microseconds latency{};
  // The start of the response body, if a copy was requested, and whether it is the whole body.
  std::string body_prefix;
  bool body_prefix_is_whole = false;
};

// Callbacks and options of an attempt. on_done is called exactly once.
struct forward_callbacks {
  // Decides whether a response is sent to the caller. If it returns false, the attempt ends with
  // kDeclined, and the handler must respond or forward again. If empty, all responses are accepted.
  std::function<bool(status_code status, const header_list& headers)> accept_response;
  // Called before the response header is sent to the caller. Headers that it sets replace those of
  // the upstream; it must not change headers that frame the body.
  std::function<void(status_code status, header_list& headers)> on_response_head;
  std::function<void(const forward_result&)> on_done;
  // Number of bytes of the response body to copy to body_prefix, at most kMaxBodyPrefixBytes.
  std::size_t body_prefix_bytes = 0;
};

}  // namespace cornelweir::http

#endif  // CORNELWEIR_SRC_HTTP_FORWARD_RESULT_H_
