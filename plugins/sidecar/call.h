#ifndef CORNELWEIR_PLUGINS_SIDECAR_CALL_H_
#define CORNELWEIR_PLUGINS_SIDECAR_CALL_H_

#include <cstdint>
#include <optional>
#include <string>

#include "cornelweir/http.h"
#include "cornelweir/kernel.h"

namespace cornelweir::plugins::sidecar {

// A caller's request, decoded.
struct call {
  // The caller's id of this attempt. Identifies the request in logs and tells responses apart.
  std::string request_id;
  std::string method;
  // Path and query as received.
  std::string target;
  std::string host;
  // The caller's key; empty if the request has none, or more than one. It is not forwarded.
  kernel::api_key key;
  // Only the headers to forward.
  http::header_pairs headers;
  std::string body;
  // The caller's timeout, if the request states one.
  std::optional<kernel::milliseconds> time_left;
};

// The daemon's own reply to a request for which it has no response from an upstream.
enum class reply_kind : std::uint8_t {
  // Not run, and will not run: no policy, no upstream or no capacity. The caller may retry.
  kNotRun,
  // No route matches the request.
  kNoRoute,
  // The request needs the key of a workspace and has none.
  kUnauthenticated,
  // The quota of the workspace is used up. The request was not run.
  kQuotaExceeded,
  // The upstream failed without a response. The request may have run.
  kUpstreamFailed,
  // No response before the deadline. The request may have run.
  kTimeout,
};

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_PLUGINS_SIDECAR_CALL_H_
