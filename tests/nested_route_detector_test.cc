// Tests the detection of routes that upstreams call while they run a request.

#include <gtest/gtest.h>

#include <string>

#include "cornelweir/admission.h"

namespace cornelweir::admission {
namespace {

kernel::service_name Service(std::uint64_t number) {
  return kernel::service_name("s" + std::to_string(number % 4));
}

const kernel::route_name kExternal("external");
const kernel::route_name kNested("nested");

// Guards against nested requests that are treated as requests of external callers, and the reverse.
TEST(NestedRouteDetector, ClassifiesRoutesByTheirCallers) {
  nested_route_detector detector;
  bool nested = false;
  bool external = false;
  for (std::uint64_t i = 0; i < kMinRequestsToClassify; ++i) {
    external = detector.Observe(kExternal, Service(i));
    nested = detector.Observe(kNested, Service(0));
  }
  EXPECT_FALSE(external);
  EXPECT_TRUE(nested);
}

// Guards against classifying a route after too few requests.
TEST(NestedRouteDetector, NeedsAMinimumOfRequests) {
  nested_route_detector detector;
  for (std::uint64_t i = 0; i < 4; ++i) detector.Observe(kExternal, Service(i));
  for (std::uint64_t i = 1; i < kMinRequestsToClassify; ++i) {
    EXPECT_FALSE(detector.Observe(kNested, Service(0)));
  }
}

// Guards against a classification that counts callers which no longer call the route.
TEST(NestedRouteDetector, DropsCallersThatNoLongerCall) {
  nested_route_detector detector;
  for (std::uint64_t i = 0; i < kMinRequestsToClassify; ++i) {
    detector.Observe(kExternal, Service(i));
  }
  bool nested = false;
  for (std::uint64_t i = 0; i <= kCallerExpiryRequests + 4; ++i) {
    nested = detector.Observe(kExternal, Service(0));
  }
  EXPECT_TRUE(nested);
}

}  // namespace
}  // namespace cornelweir::admission
