// Routes that upstreams call while they run a request.

#include <gtest/gtest.h>

#include <string>

#include "cornelweir/admission.h"

namespace cornelweir::admission {
namespace {

kernel::service_name Service(std::uint64_t number) {
  return kernel::service_name("s" + std::to_string(number % 4));
}

const kernel::route_name kCallers("callers");
const kernel::route_name kNested("nested");

// Guards against calls of running requests that are treated as new arrivals, and the reverse.
TEST(NestedRouteDetector, KnowsThemByWhoCallsThem) {
  nested_route_detector routes;
  bool nested = false;
  bool callers = false;
  for (std::uint64_t i = 0; i < kCallersKnownAfter; ++i) {
    callers = routes.Observe(kCallers, Service(i));
    nested = routes.Observe(kNested, Service(0));
  }
  EXPECT_FALSE(callers);
  EXPECT_TRUE(nested);
}

// Guards against a judgement from a few requests.
TEST(NestedRouteDetector, WaitsForEnoughRequests) {
  nested_route_detector routes;
  for (std::uint64_t i = 0; i < 4; ++i) routes.Observe(kCallers, Service(i));
  for (std::uint64_t i = 1; i < kCallersKnownAfter; ++i) {
    EXPECT_FALSE(routes.Observe(kNested, Service(0)));
  }
}

// Guards against a route that stays nested because a caller left the fleet, or the reverse.
TEST(NestedRouteDetector, ForgetsCallersThatNoLongerCall) {
  nested_route_detector routes;
  for (std::uint64_t i = 0; i < kCallersKnownAfter; ++i) routes.Observe(kCallers, Service(i));
  bool nested = false;
  for (std::uint64_t i = 0; i <= kCallerMemory + 4; ++i) {
    nested = routes.Observe(kCallers, Service(0));
  }
  EXPECT_TRUE(nested);
}

}  // namespace
}  // namespace cornelweir::admission
