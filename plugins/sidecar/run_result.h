#ifndef CORNELWEIR_PLUGINS_SIDECAR_RUN_RESULT_H_
#define CORNELWEIR_PLUGINS_SIDECAR_RUN_RESULT_H_

#include <functional>
#include <optional>

#include "cornelweir/http.h"
#include "cornelweir/protocol.h"

namespace cornelweir::plugins::sidecar {

// Result of a request that was sent to a daemon for its upstream.
struct run_result {
  // Set if the upstream responded.
  std::optional<http::whole_response> response;
  // The reason if there is no response.
  protocol::run_failure failure = protocol::run_failure::kUpstreamError;
  // Estimated wait for capacity, or zero if unknown.
  kernel::microseconds retry_after{};
  // The request is a call of a running upstream, as far as the daemon can tell.
  bool nested = false;
  // Usual run time of the route's requests at the upstream; zero if unknown.
  kernel::microseconds route_run_time{};
  // Time for which the request is refused because it crashes upstreams; zero if it is not.
  kernel::microseconds quarantined_for{};
  // The upstream responded, but the daemon beside it dropped the response. The upstream is sound.
  bool response_dropped = false;
};

using run_callback = std::function<void(run_result)>;

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_PLUGINS_SIDECAR_RUN_RESULT_H_
