#include "cornelweir/claims.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace cornelweir::claims {
namespace {

using kernel::attempt_id;
using kernel::idempotency_key;
using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

const kernel::time_point kStart{seconds(1000)};
const idempotency_key kKey("key");
const attempt_id kFirst("first");
const attempt_id kSecond("second");
const kernel::fingerprint kContent(1);

idempotency_key Key(int number) { return idempotency_key("key" + std::to_string(number)); }

stored_response Response(std::size_t body_bytes) {
  return {response_status(201), "text/plain", {std::string(body_bytes, 'x')}, false};
}

claim_status Claim(claim_table& table, const idempotency_key& key, const attempt_id& attempt,
                   kernel::time_point now = kStart) {
  return table.Claim(key, attempt, kContent, now).status;
}

// Guards against a request that is sent again running a second time.
TEST(ClaimTable, GrantsAKeyToOneAttempt) {
  claim_table table;
  EXPECT_EQ(Claim(table, kKey, kFirst), claim_status::kGranted);
  EXPECT_EQ(Claim(table, kKey, kFirst), claim_status::kGranted);
  EXPECT_EQ(Claim(table, kKey, kSecond), claim_status::kHeld);
  EXPECT_EQ(table.Claim(kKey, kSecond, kernel::fingerprint(2), kStart).status,
            claim_status::kMismatch);
  EXPECT_FALSE(table.Complete(kKey, kSecond, Response(1)));
  EXPECT_FALSE(table.Release(kKey, kSecond));
  EXPECT_TRUE(table.Complete(kKey, kFirst, Response(4)));
  EXPECT_TRUE(table.Complete(kKey, kFirst, Response(9)));
  EXPECT_FALSE(table.Release(kKey, kFirst));
  EXPECT_EQ(table.Claim(kKey, kSecond, kContent, kStart),
            (claim_result{claim_status::kCompleted, Response(4)}));
}

// Guards against granting a delayed duplicate of a claim command to an attempt that has ended,
// which would block the key for a day.
TEST(ClaimTable, ReleasedAttemptCannotClaimAgain) {
  claim_table table;
  Claim(table, kKey, kFirst);
  EXPECT_TRUE(table.Release(kKey, kFirst));
  EXPECT_EQ(Claim(table, kKey, kFirst), claim_status::kHeld);
  EXPECT_EQ(Claim(table, kKey, kSecond), claim_status::kGranted);
  // The release may also arrive before the claim.
  EXPECT_FALSE(table.Release(Key(2), kFirst));
  EXPECT_EQ(Claim(table, Key(2), kFirst), claim_status::kHeld);
  EXPECT_EQ(Claim(table, Key(2), kSecond), claim_status::kGranted);
}

TEST(ClaimTable, KeepsClaimsForADay) {
  claim_table table;
  Claim(table, kKey, kFirst);
  table.Complete(kKey, kFirst, Response(4));
  table.Expire(kStart + hours(24) - seconds(1));
  EXPECT_EQ(Claim(table, kKey, kSecond, kStart + hours(23)), claim_status::kCompleted);
  EXPECT_EQ(Claim(table, kKey, kSecond, kStart + hours(24)), claim_status::kGranted);
  EXPECT_EQ(table.stored_bytes(), kernel::byte_count(0));
}

// Guards against unbounded growth of the table, and against released claims filling it up.
TEST(ClaimTable, FullTableEvictsReleasedClaimsOnly) {
  claim_table table(2);
  Claim(table, Key(1), kFirst);
  Claim(table, Key(2), kFirst);
  EXPECT_EQ(Claim(table, Key(3), kFirst), claim_status::kFull);
  table.Release(Key(1), kFirst);
  EXPECT_EQ(Claim(table, Key(3), kFirst), claim_status::kFull);
  EXPECT_EQ(Claim(table, Key(3), kFirst, kStart + minutes(1)), claim_status::kGranted);
  EXPECT_EQ(Claim(table, Key(2), kSecond, kStart + minutes(1)), claim_status::kHeld);
  EXPECT_EQ(table.size(), 2U);
  EXPECT_EQ(Claim(table, idempotency_key(std::string(kMaxStoredKeyBytes + 1, 'k')), kFirst,
                  kStart + hours(48)),
            claim_status::kFull);
}

TEST(ClaimTable, OmitsBodiesThatAreTooLarge) {
  claim_table table(10, kernel::byte_count(kMaxBodyBytes + 20));
  for (int i = 1; i <= 3; ++i) Claim(table, Key(i), kFirst);
  table.Complete(Key(1), kFirst, Response(kMaxBodyBytes + 1));
  table.Complete(Key(2), kFirst, Response(kMaxBodyBytes));
  table.Complete(Key(3), kFirst, Response(1));
  const stored_response omitted{response_status(201), {}, {}, true};
  EXPECT_EQ(table.Claim(Key(1), kSecond, kContent, kStart).response, omitted);
  EXPECT_EQ(table.Claim(Key(2), kSecond, kContent, kStart).response, Response(kMaxBodyBytes));
  EXPECT_EQ(table.Claim(Key(3), kSecond, kContent, kStart).response, omitted);
}

// Guards against one call blocking the loop by removing too many claims.
TEST(ClaimTable, RemovesABoundedNumberPerCall) {
  claim_table table;
  const int count = static_cast<int>(kMaxExpiredPerCall) + 1;
  for (int i = 0; i < count; ++i) Claim(table, Key(i), kFirst);
  table.Expire(kStart + hours(24));
  ASSERT_EQ(table.size(), 1U);
  const idempotency_key remaining = table.state().claims.begin()->first;
  EXPECT_FALSE(table.Complete(remaining, kFirst, Response(1))) << "it has expired like the others";
}

// Guards, for random sequences of claims, completions, releases, expiry and repeated commands,
// against a key running twice and against a replica restored from a snapshot diverging.
RC_GTEST_PROP(ClaimTable, RunsAKeyAtMostOnce, ()) {
  claim_table table(6, kernel::byte_count(40));
  claim_table copy(6, kernel::byte_count(40));
  kernel::time_point now = kStart;
  std::uint64_t next_attempt = 0;
  // By key, the attempt that may run or has run, and the time of its claim.
  std::map<idempotency_key, std::pair<attempt_id, kernel::time_point>> runs;
  std::set<std::pair<idempotency_key, attempt_id>> released_commands;
  std::vector<std::pair<idempotency_key, attempt_id>> commands;
  const auto schedule =
      *rc::gen::container<std::vector<std::uint32_t>>(300, rc::gen::inRange(0U, 1U << 30));
  for (const std::uint32_t step : schedule) {
    const std::uint32_t value = step / 16;
    const std::uint32_t choice = step % 16;
    if (choice < 10) {
      std::pair<idempotency_key, attempt_id> command{
          Key(static_cast<int>(value % 8)), attempt_id("a" + std::to_string(next_attempt++))};
      // Some commands are repeated.
      if (choice < 4 && !commands.empty()) command = commands[value % commands.size()];
      commands.push_back(command);
      const auto& [key, attempt] = command;
      const auto result = table.Claim(key, attempt, kContent, now);
      RC_ASSERT(copy.Claim(key, attempt, kContent, now) == result);
      const auto running = runs.find(key);
      const bool taken = running != runs.end() && now - running->second.second < kClaimRetention;
      if (result.status == claim_status::kGranted) {
        RC_ASSERT(!taken || running->second.first == attempt);
        RC_ASSERT(!released_commands.contains(command));
        if (!taken) runs[key] = {attempt, now};
      } else if (taken) {
        RC_ASSERT(result.status != claim_status::kFull);
      }
    } else if (choice < 14 && !commands.empty()) {
      const auto command = commands[value % commands.size()];
      const auto& [key, attempt] = command;
      const auto running = runs.find(key);
      const bool holds = running != runs.end() && running->second.first == attempt &&
                         now - running->second.second < kClaimRetention;
      if (choice < 12) {
        const bool completed = table.Complete(key, attempt, Response(value % 20));
        RC_ASSERT(copy.Complete(key, attempt, Response(value % 20)) == completed);
        RC_ASSERT(!completed || holds);
      } else {
        const bool released = table.Release(key, attempt);
        RC_ASSERT(copy.Release(key, attempt) == released);
        RC_ASSERT(!released || holds);
        if (released) {
          runs.erase(key);
          released_commands.insert(command);
        }
      }
    } else if (choice == 14) {
      const bool long_step = value % 16 == 0;
      now += long_step ? kernel::microseconds(hours(value / 16 % 30)) : seconds(value / 16 % 5);
      if (long_step) {
        commands.clear();
        released_commands.clear();
      }
      table.Expire(now);
      copy.Expire(now);
    } else {
      copy.Restore(table.Snapshot());
    }
    RC_ASSERT(table.size() <= 6U);
    RC_ASSERT(table.stored_bytes() <= kernel::byte_count(40));
    RC_ASSERT(table.Snapshot() == copy.Snapshot());
  }
}

}  // namespace
}  // namespace cornelweir::claims
