#ifndef CORNELWEIR_SRC_HTTP_LINE_FOLDING_H_
#define CORNELWEIR_SRC_HTTP_LINE_FOLDING_H_

#include <string_view>

namespace cornelweir::http::internal {

// Whether a header uses line folding: a line that begins with a blank continues the value of the
// line before it. RFC 9112 deprecates it. Parsers that disagree about it may see different requests
// (request smuggling), and a response may get a value that its server did not mean.
inline bool HasLineFolding(std::string_view head) {
  return head.find("\n ") != std::string_view::npos || head.find("\n\t") != std::string_view::npos;
}

}  // namespace cornelweir::http::internal

#endif  // CORNELWEIR_SRC_HTTP_LINE_FOLDING_H_
