#ifndef CORNELWEIR_SRC_HTTP_FORWARD_RESULT_H_
#define CORNELWEIR_SRC_HTTP_FORWARD_RESULT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "cornelweir/src/http/header_list.h"
#include "cornelweir/src/http/http_error.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::http {

enum class forward_status : std::uint8_t {
  // The caller was sent the whole response.
  kComplete,
  // No byte of the request was handed to a connection, and nothing was sent to the caller.
  kNotSent,
  // The connection broke before a response began; nothing was sent to the caller.
  kBrokenBeforeResponse,
  // The caller's connection was closed in the middle of the response.
  kBrokenDuringResponse,
  // If the response had begun, the caller's connection was closed; otherwise nothing was sent.
  kTimeout,
  // The caller closed its connection, or sent a body that was malformed, too large or too slow; in
  // the latter cases it was answered.
  kCallerGone,
  // The handler declined the response; nothing was sent to the caller.
  kDeclined,
};

std::string_view ForwardStatusName(forward_status status);

// How an attempt to forward a request ended.
struct forward_result {
  forward_status outcome = forward_status::kNotSent;
  // Whether any byte of the request was handed to a connection.
  bool sent = false;
  // Whether the response had begun to go to the caller.
  bool responded = false;
  // Why there was no response; for kNotSent, kBrokenBeforeResponse and kTimeout.
  http_fault fault = http_fault::kConnectionBroken;
  // The status and headers that the upstream sent; 0 and none without a response.
  int status = 0;
  header_list headers;
  // From the first byte written to the upstream until its response header, or until the end if
  // there was none.
  kernel::microseconds latency{};
  // The start of the response body, if a copy was asked for, and whether it is the whole body.
  std::string body_prefix;
  bool body_prefix_is_whole = false;
};

// What a handler wants to know about an attempt. on_done is called exactly once.
struct forward_callbacks {
  // Decides whether a response goes to the caller. If it returns false, the attempt ends with
  // kDeclined, and the handler answers or forwards again. All are accepted if it is empty.
  std::function<bool(int status, const header_list& headers)> accept_response;
  // Called before the response header goes to the caller. Headers that it sets replace those of
  // the upstream; those that frame the body must stay as they are.
  std::function<void(int status, header_list& headers)> on_response_head;
  std::function<void(const forward_result&)> on_done;
  // The number of bytes of the response body to copy, at most kMaxBodyPrefixBytes.
  std::size_t body_prefix_bytes = 0;
};

}  // namespace cornelweir::http

#endif  // CORNELWEIR_SRC_HTTP_FORWARD_RESULT_H_
