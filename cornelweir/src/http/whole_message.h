#ifndef CORNELWEIR_SRC_HTTP_WHOLE_MESSAGE_H_
#define CORNELWEIR_SRC_HTTP_WHOLE_MESSAGE_H_

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cornelweir/src/http/status_code.h"
#include "cornelweir/src/memory/memory_hold.h"

namespace cornelweir::http {

// Headers as plain text, in order, for messages that outlive the connection they arrived on.
using header_pairs = std::vector<std::pair<std::string, std::string>>;

// Returns the value of the first header with this name (case-insensitive), or an empty string.
std::string_view FindHeader(const header_pairs& headers, std::string_view name);
// Whether the name is that of a hop-by-hop header (RFC 9110, section 7.6.1), Expect or
// Content-Length, which a forwarding server must not copy.
bool IsHopByHopHeader(std::string_view name);

// A request with its complete body.
struct whole_request {
  std::string method;
  std::string target;
  header_pairs headers;
  std::string body;
};

// A response with its complete body.
struct whole_response {
  status_code status;
  header_pairs headers = {};
  std::string body = {};
  // The bytes of the body in the account of the process; null if they are not counted.
  std::shared_ptr<memory::memory_hold> hold = nullptr;
};

}  // namespace cornelweir::http

#endif  // CORNELWEIR_SRC_HTTP_WHOLE_MESSAGE_H_
