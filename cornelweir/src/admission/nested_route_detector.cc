#include "cornelweir/src/admission/nested_route_detector.h"

#include "cornelweir/src/admission/limits.h"

namespace cornelweir::admission {

bool nested_route_detector::Observe(const kernel::route_name& route,
                                    const kernel::service_name& caller) {
  callers_.insert(caller);
  route_record& observed = routes_[route];
  const std::uint64_t number = ++observed.requests;
  observed.latest_by_caller[caller] = number;
  std::erase_if(observed.latest_by_caller,
                [&](const auto& latest) { return latest.second + kCallerExpiryRequests < number; });
  return number >= kMinRequestsToClassify &&
         observed.latest_by_caller.size() * 2 <= callers_.size();
}

}  // namespace cornelweir::admission
