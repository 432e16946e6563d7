// Tests replacing the policy based on a given version: concurrent changes and resends.

#include <gtest/gtest.h>

#include <optional>
#include <string>

#include "cornelweir/codec.h"
#include "cornelweir/control.h"
#include "cornelweir/src/codec/direct_cbor.h"

namespace cornelweir::control {
namespace {

policy::policy_delta Delta(std::uint64_t base, std::uint64_t version) {
  policy::policy_delta delta;
  delta.base = kernel::policy_version(base);
  delta.version = kernel::policy_version(version);
  return delta;
}

kernel::policy_digest Digest(std::uint64_t value) { return kernel::policy_digest(value); }

// A change without a text, as a host of an earlier version proposes it.
replace_policy_command Change(std::uint64_t base, std::uint64_t version, std::uint64_t digest) {
  return {Delta(base, version), Digest(digest), std::nullopt};
}

replace_policy_command ChangeWithText(std::uint64_t base, std::uint64_t version,
                                      std::uint64_t text_digest) {
  return {Delta(base, version), Digest(1),
          policy::policy_text{{"text " + std::to_string(text_digest)}, Digest(text_digest)}};
}

// Guards against accepting two changes based on the same version, with the same new version or not.
TEST(PolicyStore, AcceptsOneOfTwoConcurrentChanges) {
  policy_store store;
  EXPECT_TRUE(store.Replace(Change(0, 4, 1)).accepted);
  EXPECT_TRUE(store.Replace(Change(4, 9, 2)).accepted);
  EXPECT_FALSE(store.Replace(Change(4, 9, 3)).accepted);
  EXPECT_FALSE(store.Replace(Change(4, 11, 4)).accepted);
  EXPECT_EQ(store.current()->version, kernel::policy_version(9));
}

// Guards against refusing the resend of a change whose acknowledgement was lost.
TEST(PolicyStore, AcknowledgesAResendWithoutEffect) {
  policy_store store;
  EXPECT_TRUE(store.Replace(Change(0, 4, 1)).changed);
  EXPECT_TRUE(store.Replace(Change(4, 9, 2)).changed);
  const policy_outcome again = store.Replace(Change(0, 4, 1));
  EXPECT_TRUE(again.accepted);
  EXPECT_FALSE(again.changed);
  EXPECT_EQ(store.current()->version, kernel::policy_version(9));
}

// Guards against a version that decreases or repeats.
TEST(PolicyStore, RefusesAVersionThatIsNotGreater) {
  policy_store store;
  EXPECT_TRUE(store.Replace(Change(0, 4, 1)).accepted);
  EXPECT_FALSE(store.Replace(Change(4, 4, 2)).accepted);
  EXPECT_FALSE(store.Replace(Change(4, 3, 3)).accepted);
}

// Guards against refusing resends after a host was restored from a snapshot.
TEST(PolicyStore, SnapshotKeepsTheAcceptedPolicies) {
  policy_store store;
  store.Replace(Change(0, 4, 1));
  policy_store restored;
  restored.Restore(store.Snapshot());
  EXPECT_TRUE(restored.WasAccepted({kernel::policy_version(4), Digest(1), std::nullopt}));
  EXPECT_FALSE(restored.WasAccepted({kernel::policy_version(4), Digest(2), std::nullopt}));
  EXPECT_EQ(*restored.current(), *store.current());
}

// Guards against an acknowledged policy that is read back as another text of the same table.
TEST(PolicyStore, DistinguishesTextsOfTheSameTable) {
  policy_store store;
  EXPECT_TRUE(store.Replace(ChangeWithText(0, 4, 7)).changed);
  EXPECT_FALSE(store.Replace(ChangeWithText(0, 4, 8)).accepted);
  EXPECT_TRUE(store.Replace(ChangeWithText(0, 4, 7)).accepted);
  ASSERT_NE(store.text(), nullptr);
  EXPECT_EQ(store.text()->deflated.bytes, "text 7");
}

// Guards against losing the text of a policy when a host is restored from a snapshot.
TEST(PolicyStore, SnapshotKeepsTheText) {
  policy_store store;
  store.Replace(ChangeWithText(0, 4, 7));
  const auto encoded = codec::EncodeDirectly(store.Snapshot());
  const auto decoded = codec::DecodeDirectly<policy_store_state>(encoded, encoded.size());
  ASSERT_TRUE(decoded);
  policy_store restored;
  restored.Restore(decoded.value());
  ASSERT_NE(restored.text(), nullptr);
  EXPECT_EQ(*restored.text(), *store.text());
  EXPECT_FALSE(restored.Replace(ChangeWithText(0, 4, 8)).accepted);
}

// Guards against reading back the text of an earlier policy after a change by a host of an earlier
// version, and against refusing the resend of what such a host accepted.
TEST(PolicyStore, ReplacesPoliciesOfEarlierVersions) {
  policy_store store;
  store.Replace(ChangeWithText(0, 4, 7));
  EXPECT_TRUE(store.Replace(Change(4, 9, 1)).changed);
  EXPECT_EQ(store.text(), nullptr);
  EXPECT_TRUE(store.Replace(ChangeWithText(4, 9, 7)).accepted);
  EXPECT_TRUE(store.Replace(ChangeWithText(9, 10, 8)).changed);
  EXPECT_NE(store.text(), nullptr);
}

}  // namespace
}  // namespace cornelweir::control
