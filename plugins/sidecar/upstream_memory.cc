// The part of upstream_dispatcher that keeps memory for the responses.

#include <algorithm>

#include "plugins/sidecar/upstream_dispatcher.h"

namespace cornelweir::plugins::sidecar {
namespace internal {

// Least time after which a request that had no room is sent again. Responses leave the memory
// within some such times.
constexpr kernel::milliseconds kMinMemoryWait{100};

}  // namespace internal

bool upstream_dispatcher::ReserveResponse(admission::ticket id) {
  run& starting = runs_.at(id);
  starting.reservation = room_.Reserve(starting.request.route);
  if (starting.reservation) return true;
  run_result refused;
  refused.failure = protocol::run_failure::kNoCapacity;
  refused.retry_after =
      std::max(queue_.ExpectedWait(Now()), kernel::microseconds(internal::kMinMemoryWait));
  context_.loop.Post([this, id, refused] { Finish(id, refused); });
  StartAll(queue_.Release(id, std::nullopt, Now()));
  return false;
}

}  // namespace cornelweir::plugins::sidecar
