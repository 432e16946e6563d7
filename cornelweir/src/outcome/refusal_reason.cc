#include "cornelweir/src/outcome/refusal_reason.h"

#include <array>
#include <cstddef>

namespace cornelweir::outcome {
namespace internal {

struct refusal_traits {
  std::string_view text;
  bool may_succeed_on_another_upstream;
};

// In the order of refusal_reason. A refusal by the workspace's limit is not retried on another
// upstream, because one workspace above its limit would use up the retry budget that all workspaces
// of the service share.
constexpr std::array<refusal_traits, 13> kRefusals = {{
    {"no route matches the path", false},
    {"the service has no usable upstream", false},
    {"the queue is full", true},
    {"the request waited too long in the queue", true},
    {"the deadline has passed", false},
    {"the tenant has too many requests in progress", false},
    {"the service has too many requests in progress", true},
    {"the request is quarantined because upstreams crashed while they ran it", false},
    {"the idempotency key can't be claimed now", false},
    {"the route needs an idempotency key", false},
    {"the idempotency key was used for another method or target", false},
    {"the daemon has no proven configuration yet", true},
    {"the daemon is shutting down", true},
}};
static_assert(static_cast<std::size_t>(refusal_reason::kShuttingDown) + 1 == kRefusals.size(),
              "every reason needs a text");

}  // namespace internal

std::string_view RefusalText(refusal_reason reason) {
  return internal::kRefusals[static_cast<std::size_t>(reason)].text;
}

bool MaySucceedOnAnotherUpstream(refusal_reason reason) {
  return internal::kRefusals[static_cast<std::size_t>(reason)].may_succeed_on_another_upstream;
}

}  // namespace cornelweir::outcome
