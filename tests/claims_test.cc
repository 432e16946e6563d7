#include "cornelweir/claims.h"

#include <gtest/gtest.h>

namespace cornelweir::claims {
namespace {

const kernel::time_point kStart{std::chrono::seconds(1000)};
const kernel::idempotency_key kKey("key");
const kernel::attempt_id kFirst("first");
const kernel::attempt_id kSecond("second");
const kernel::fingerprint kContent(1);

// Guards against a resent request running a second time.
TEST(ClaimTable, GrantsAKeyToOneAttempt) {
  claim_table table;
  EXPECT_EQ(table.Claim(kKey, kFirst, kContent, kStart).status, claim_status::kGranted);
  EXPECT_EQ(table.Claim(kKey, kFirst, kContent, kStart).status, claim_status::kGranted);
  EXPECT_EQ(table.Claim(kKey, kSecond, kContent, kStart).status, claim_status::kHeld);
  EXPECT_EQ(table.Claim(kKey, kSecond, kernel::fingerprint(2), kStart).status,
            claim_status::kMismatch);
  EXPECT_TRUE(table.Complete(kKey, kFirst, {response_status(201), "text/plain", {"done"}, false}));
  const auto again = table.Claim(kKey, kSecond, kContent, kStart);
  EXPECT_EQ(again.status, claim_status::kCompleted);
  EXPECT_EQ(again.response->body.bytes, "done");
}

}  // namespace
}  // namespace cornelweir::claims
