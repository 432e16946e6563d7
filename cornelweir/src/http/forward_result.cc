#include "cornelweir/src/http/forward_result.h"

namespace cornelweir::http {

std::string_view ForwardStatusName(forward_status status) {
  switch (status) {
    case forward_status::kComplete:
      return "complete";
    case forward_status::kNotSent:
      return "not sent";
    case forward_status::kBrokenBeforeResponse:
      return "broken before response";
    case forward_status::kBrokenDuringResponse:
      return "broken during response";
    case forward_status::kTimeout:
      return "timeout";
    case forward_status::kCallerGone:
      return "caller disconnected";
    case forward_status::kDeclined:
      return "declined";
  }
  return "unknown";
}

}  // namespace cornelweir::http
