#include "cornelweir/admission.h"

#include <gtest/gtest.h>

#include <chrono>

namespace cornelweir::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const kernel::time_point kStart{seconds(1000)};
const kernel::tenant_id kTenant("tenant");

kernel::request_count Count(std::int64_t value) { return kernel::request_count(value); }

TEST(AdmissionController, QueuesAboveTheLimitAndAdmitsOnRelease) {
  admission_controller controller;
  controller.Configure({Count(1), Count(5), Count(1), milliseconds(200)}, Count(5), Count(5),
                       kStart);
  const auto limit = outcome::deadline::After(seconds(1), kStart);
  const auto submit = [&](std::uint64_t id) {
    return controller.Submit(ticket(id), kTenant, priority_class::kNormal, limit, kStart);
  };
  EXPECT_EQ(submit(1).state, admission_state::kAdmitted);
  EXPECT_EQ(submit(2).state, admission_state::kQueued);
  EXPECT_EQ(submit(3).reason, outcome::refusal_reason::kQueueFull);
  EXPECT_EQ(controller.Release(ticket(1), kStart), std::vector<ticket>{ticket(2)});
}

TEST(DivideLimit, SharesSumToTheLimit) {
  const auto shares = DivideLimit(Count(10), {{kernel::upstream_id("a"), Count(20)},
                                              {kernel::upstream_id("b"), Count(20)},
                                              {kernel::upstream_id("c"), Count(20)}});
  EXPECT_EQ(shares, (std::vector{Count(4), Count(3), Count(3)}));
}

}  // namespace
}  // namespace cornelweir::admission
