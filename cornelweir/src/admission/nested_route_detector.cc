#include "cornelweir/src/admission/nested_route_detector.h"

#include "cornelweir/src/admission/limits.h"

namespace cornelweir::admission {

bool nested_route_detector::Observe(const kernel::route_name& route,
                                    const kernel::service_name& caller) {
  callers_.insert(caller);
  record& known = routes_[route];
  const std::uint64_t number = ++known.requests;
  known.callers[caller] = number;
  std::erase_if(known.callers,
                [&](const auto& seen) { return seen.second + kCallerMemory < number; });
  return number >= kCallersKnownAfter && known.callers.size() * 2 <= callers_.size();
}

}  // namespace cornelweir::admission
