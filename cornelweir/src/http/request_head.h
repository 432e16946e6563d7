#ifndef CORNELWEIR_SRC_HTTP_REQUEST_HEAD_H_
#define CORNELWEIR_SRC_HTTP_REQUEST_HEAD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cornelweir/src/http/client.h"
#include "cornelweir/src/http/header_list.h"

namespace cornelweir::http {

// The request line and headers of a caller's request, available before its body is read.
struct request_head {
  http::method method = http::method::get;
  std::string target;
  // Headers as sent by the caller, including those that are not forwarded.
  header_list headers;
  // Absent if the body is chunked; 0 if there is none.
  std::optional<std::uint64_t> content_length;
  bool chunked = false;

  std::string_view Header(std::string_view name) const { return HeaderValue(headers, name); }
  bool has_body() const { return chunked || content_length.value_or(0) > 0; }
};

}  // namespace cornelweir::http

#endif  // CORNELWEIR_SRC_HTTP_REQUEST_HEAD_H_
