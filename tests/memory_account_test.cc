// Tests the account of the bytes that a process holds for others.

#include <gtest/gtest.h>

#include <memory>
#include <vector>

#include "cornelweir/memory.h"

namespace cornelweir::memory {
namespace {

using kernel::byte_count;

constexpr std::int64_t kMb = 1'000'000;

// Guards against holders that together take more than the account, and against a use that starves
// all others.
TEST(MemoryAccount, RefusesWhatExceedsTheAccountOrTheShareOfAUse) {
  const auto account = std::make_shared<memory_account>(byte_count(10 * kMb));
  memory_hold first(account, memory_use::kCallerResponses);
  EXPECT_TRUE(first.Resize(byte_count(8 * kMb)));
  memory_hold second(account, memory_use::kCallerResponses);
  EXPECT_FALSE(second.Resize(byte_count(kMb / 2)));
  memory_hold other(account, memory_use::kLinkTransfers);
  EXPECT_TRUE(other.Resize(byte_count(kMb / 2)));
  EXPECT_FALSE(other.Resize(byte_count(kMb)));
  EXPECT_EQ(other.bytes(), byte_count(kMb / 2));
  EXPECT_EQ(account->refusals(memory_use::kCallerResponses), 1U);
  EXPECT_TRUE(account->IsScarce());
}

// Guards against ordinary callers who are refused because large bodies take the whole account.
TEST(MemoryAccount, KeepsAReserveForSmallHolds) {
  const auto account = std::make_shared<memory_account>(byte_count(10 * kMb));
  memory_hold large(account, memory_use::kCallerResponses);
  EXPECT_TRUE(large.Resize(byte_count(8 * kMb)));
  std::vector<std::unique_ptr<memory_hold>> small;
  while (true) {
    auto hold = std::make_unique<memory_hold>(account, memory_use::kCallerResponses);
    if (!hold->Resize(kMaxSmallHold)) break;
    small.push_back(std::move(hold));
  }
  EXPECT_GT(account->taken(), byte_count(9 * kMb));
  EXPECT_LE(account->taken(), account->limit());
}

// Guards against bytes that stay counted when their holder is gone or passes them on.
TEST(MemoryAccount, FollowsTheBytesFromUseToUse) {
  const auto account = std::make_shared<memory_account>(byte_count(10 * kMb));
  {
    memory_hold hold(account, memory_use::kUpstreamResponses);
    EXPECT_TRUE(hold.Resize(byte_count(kMb)));
    hold.MoveTo(memory_use::kLinkTransfers);
    EXPECT_EQ(account->taken(memory_use::kUpstreamResponses), byte_count(0));
    EXPECT_EQ(account->taken(memory_use::kLinkTransfers), byte_count(kMb));
    EXPECT_TRUE(hold.Resize(byte_count(kMb / 4)));
    EXPECT_EQ(account->taken(), byte_count(kMb / 4));
  }
  EXPECT_EQ(account->taken(), byte_count(0));
}

}  // namespace
}  // namespace cornelweir::memory
