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
  // The caller's id of this attempt; for logs, and to tell responses apart.
  std::string request_id;
  std::string method;
  // Path and query, as the caller sent them.
  std::string target;
  std::string host;
  // Those that are forwarded.
  http::header_pairs headers;
  std::string body;
  // How long the caller waits, if it says so.
  std::optional<kernel::milliseconds> time_left;
};

// How the daemon itself answers a request for which it has no upstream's response.
enum class reply_kind : std::uint8_t {
  // Not run, and won't be: no policy, no upstream, no room. The caller may come back.
  kNotRun,
  // No route leads anywhere.
  kNoRoute,
  // It may have run: the upstream broke off.
  kUpstreamFailed,
  // It may have run: no response in time.
  kTimeout,
};

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_PLUGINS_SIDECAR_CALL_H_
