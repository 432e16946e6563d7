#include "cornelweir/src/http/http_error.h"

namespace cornelweir::http {

std::string_view FaultName(http_fault fault) {
  switch (fault) {
    case http_fault::kBadEndpoint:
      return "bad endpoint";
    case http_fault::kListenFailed:
      return "listen failed";
    case http_fault::kConnectFailed:
      return "connect failed";
    case http_fault::kPoolExhausted:
      return "connection pool exhausted";
    case http_fault::kTimeout:
      return "timeout";
    case http_fault::kConnectionBroken:
      return "connection broken";
    case http_fault::kMalformed:
      return "malformed message";
    case http_fault::kTooLarge:
      return "message too large";
    case http_fault::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

}  // namespace cornelweir::http
