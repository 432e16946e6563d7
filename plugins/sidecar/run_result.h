#ifndef CORNELWEIR_PLUGINS_SIDECAR_RUN_RESULT_H_
#define CORNELWEIR_PLUGINS_SIDECAR_RUN_RESULT_H_

#include <functional>
#include <optional>

#include "cornelweir/http.h"
#include "cornelweir/protocol.h"

namespace cornelweir::plugins::sidecar {

// How a request ended at the daemon beside an upstream.
struct run_result {
  // Set if the upstream responded.
  std::optional<http::whole_response> response;
  // Otherwise, why not.
  protocol::run_failure failure = protocol::run_failure::kUpstreamError;
  kernel::microseconds retry_after{};
};

using run_callback = std::function<void(run_result)>;

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_PLUGINS_SIDECAR_RUN_RESULT_H_
