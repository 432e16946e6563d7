// Tests replacing the policy based on a given version: concurrent changes and resends.

#include <gtest/gtest.h>

#include "cornelweir/control.h"

namespace cornelweir::control {
namespace {

policy::policy_delta Delta(std::uint64_t base, std::uint64_t version) {
  policy::policy_delta delta;
  delta.base = kernel::policy_version(base);
  delta.version = kernel::policy_version(version);
  return delta;
}

kernel::policy_digest Digest(std::uint64_t value) { return kernel::policy_digest(value); }

// Guards against accepting two changes based on the same version, with the same new version or not.
TEST(PolicyStore, AcceptsOneOfTwoConcurrentChanges) {
  policy_store store;
  EXPECT_TRUE(store.Replace(Delta(0, 4), Digest(1)).accepted);
  EXPECT_TRUE(store.Replace(Delta(4, 9), Digest(2)).accepted);
  EXPECT_FALSE(store.Replace(Delta(4, 9), Digest(3)).accepted);
  EXPECT_FALSE(store.Replace(Delta(4, 11), Digest(4)).accepted);
  EXPECT_EQ(store.current()->version, kernel::policy_version(9));
}

// Guards against refusing the resend of a change whose acknowledgement was lost.
TEST(PolicyStore, AcknowledgesAResendWithoutEffect) {
  policy_store store;
  EXPECT_TRUE(store.Replace(Delta(0, 4), Digest(1)).changed);
  EXPECT_TRUE(store.Replace(Delta(4, 9), Digest(2)).changed);
  const policy_outcome again = store.Replace(Delta(0, 4), Digest(1));
  EXPECT_TRUE(again.accepted);
  EXPECT_FALSE(again.changed);
  EXPECT_EQ(store.current()->version, kernel::policy_version(9));
}

// Guards against a version that decreases or repeats.
TEST(PolicyStore, RefusesAVersionThatIsNotGreater) {
  policy_store store;
  EXPECT_TRUE(store.Replace(Delta(0, 4), Digest(1)).accepted);
  EXPECT_FALSE(store.Replace(Delta(4, 4), Digest(2)).accepted);
  EXPECT_FALSE(store.Replace(Delta(4, 3), Digest(3)).accepted);
}

// Guards against refusing resends after a host was restored from a snapshot.
TEST(PolicyStore, SnapshotKeepsTheAcceptedPolicies) {
  policy_store store;
  store.Replace(Delta(0, 4), Digest(1));
  policy_store restored;
  restored.Restore(store.Snapshot());
  EXPECT_TRUE(restored.WasAccepted(kernel::policy_version(4), Digest(1)));
  EXPECT_FALSE(restored.WasAccepted(kernel::policy_version(4), Digest(2)));
  EXPECT_EQ(*restored.current(), *store.current());
}

}  // namespace
}  // namespace cornelweir::control
