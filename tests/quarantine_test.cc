#include "cornelweir/quarantine.h"

#include <gtest/gtest.h>

namespace cornelweir::quarantine {
namespace {

const kernel::time_point kStart{std::chrono::seconds(1000)};
const kernel::fingerprint kRequest(7);
const kernel::upstream_id kUpstream("u1");

// Guards against a request that crashes every upstream being passed on without end.
TEST(CrashLedger, QuarantinesAfterCrashesOfTwoIncarnations) {
  crash_ledger ledger;
  EXPECT_FALSE(ledger.Report(kRequest, kUpstream, kernel::incarnation(1), kStart));
  EXPECT_FALSE(ledger.Report(kRequest, kUpstream, kernel::incarnation(1), kStart));
  EXPECT_TRUE(ledger.Report(kRequest, kUpstream, kernel::incarnation(2), kStart));
  quarantine_list list;
  list.Replace(ledger.Quarantined(), kStart);
  EXPECT_TRUE(list.Contains(kRequest, kStart));
}

}  // namespace
}  // namespace cornelweir::quarantine
