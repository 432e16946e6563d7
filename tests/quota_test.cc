// Tests the owner and the store of quota tokens at the edges at which a limit could be exceeded.

#include "cornelweir/quota.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace cornelweir::quota {
namespace {

using kernel::milliseconds;
using kernel::request_count;
using verdict = quota_store::verdict;

const kernel::workspace_id kOrion("orion");
// 10 requests a second, 5 at once.
constexpr workspace_limit kTenPerSecond{kernel::request_rate(10'000),
                                        kernel::request_amount(5'000)};

// An owner and the store of one daemon on a manual clock.
// NOLINTNEXTLINE(readability-identifier-naming)
class QuotaTest : public ::testing::Test {
 protected:
  QuotaTest() {
    clock_.Advance(std::chrono::seconds(100));
    owner_.Restart(clock_.Now());
    clock_.Advance(std::chrono::seconds(10));
  }

  quota_grant Answer(const quota_request& request) {
    quota_grant grant{request.nonce, {}};
    for (const token_request& entry : request.entries) {
      grant.entries.push_back(owner_.Issue(entry, limit_, clock_.Now()));
    }
    return grant;
  }
  std::int64_t Issue(quota_owner& owner, std::int64_t wanted) {
    return owner.Issue({kOrion, request_count(wanted)}, limit_, clock_.Now()).granted.value();
  }
  // Decides about a request that asks the owner if it has to wait, and gets the answer at once.
  verdict Run() {
    const auto decided = store_.Take(kOrion, clock_.Now());
    if (decided.outcome != verdict::kWaiting) return decided.outcome;
    const auto request = store_.NextRequest(clock_.Now());
    if (request) store_.OnGrant(Answer(*request), clock_.Now());
    return store_.Retry(kOrion, clock_.Now()).outcome;
  }

  kernel::manual_clock clock_;
  workspace_limit limit_ = kTenPerSecond;
  quota_owner owner_{quota_limits{}};
  quota_store store_{kernel::nonce(1)};
};

// Guards against a daemon that was paused and then runs requests with tokens of the time before,
// and against a grant that was delayed for longer than its lifetime.
TEST_F(QuotaTest, TokensExpireCountedFromTheSendingOfTheRequest) {
  ASSERT_EQ(store_.Take(kOrion, clock_.Now()).outcome, verdict::kWaiting);
  const auto request = store_.NextRequest(clock_.Now());
  ASSERT_TRUE(request);
  const quota_grant grant = Answer(*request);
  ASSERT_EQ(grant.entries.at(0).granted, request_count(1));
  clock_.Advance(grant.entries[0].lifetime);
  store_.OnGrant(grant, clock_.Now());
  EXPECT_EQ(store_.Retry(kOrion, clock_.Now()).outcome, verdict::kWaiting);
  store_.Return(kOrion, clock_.Now(), clock_.Now());
  EXPECT_EQ(store_.Retry(kOrion, clock_.Now()).outcome, verdict::kWaiting);
}

// Guards against a paused owner that goes on issuing after its successor has started, and against a
// successor that starts before the last confirmed round of its predecessor has aged.
TEST_F(QuotaTest, OwnersNeverIssueAtTheSameTime) {
  const kernel::time_point last_round = clock_.Now();
  const kernel::time_point elected = last_round + milliseconds(1);
  quota_owner successor{quota_limits{}};
  successor.Restart(elected);
  for (int step = 0; step < 400; ++step) {
    clock_.Advance(milliseconds(1));
    const bool old_issues = owner_.MayIssue(last_round, clock_.Now());
    const bool new_issues = successor.MayIssue(clock_.Now(), clock_.Now());
    EXPECT_FALSE(old_issues && new_issues) << step;
  }
  EXPECT_FALSE(owner_.MayIssue(last_round, clock_.Now()));
  EXPECT_TRUE(successor.MayIssue(clock_.Now(), clock_.Now()));
  EXPECT_FALSE(successor.MayIssue(std::nullopt, clock_.Now())) << "no round of its own term";
}

// Guards against a successor with full buckets: the burst would be spent twice in one window.
TEST_F(QuotaTest, ASuccessorStartsWithEmptyBuckets) {
  EXPECT_EQ(Issue(owner_, 100), 5);
  quota_owner successor{quota_limits{}};
  successor.Restart(clock_.Now());
  clock_.Advance(kIssueFence);
  EXPECT_EQ(Issue(successor, 100), 0);
  clock_.Advance(milliseconds(200));
  EXPECT_EQ(Issue(successor, 100), 2);
  clock_.Advance(std::chrono::seconds(10));
  successor.DropFullBuckets(clock_.Now());
  EXPECT_EQ(successor.buckets(), 0U);
  EXPECT_EQ(Issue(successor, 100), 5);
}

// Guards against requests that are refused because the owner is new: its buckets are empty although
// the workspace has not used its limit.
TEST_F(QuotaTest, ANewOwnerDoesNotReportAnUnusedLimitAsUsedUp) {
  quota_owner successor{quota_limits{}};
  successor.Restart(clock_.Now());
  clock_.Advance(kIssueFence);
  const auto ask = [&](std::int64_t waiting, std::int64_t arrived) {
    return successor.Issue(
        {kOrion, request_count(waiting), request_count(waiting), request_count(arrived)}, limit_,
        clock_.Now());
  };
  const token_grant first = ask(3, 3);
  EXPECT_EQ(first.granted, request_count(0));
  EXPECT_TRUE(first.pending);
  EXPECT_EQ(first.next_in, milliseconds(100));
  EXPECT_TRUE(ask(5, 2).pending);
  EXPECT_TRUE(ask(5, 0).pending) << "the same requests, asked for again";
  EXPECT_TRUE(ask(13, 8).pending) << "requests that waited for an owner";
  EXPECT_FALSE(ask(14, 1).pending) << "more requests than a full bucket would have served";
  // No window contains tokens of the earlier owner any more.
  clock_.Advance(quota_limits{}.window + kMaxTokenLifetime);
  EXPECT_EQ(ask(6, 6).granted, request_count(5));
  EXPECT_FALSE(ask(6, 0).pending);
}

// Guards against requests that are refused or forgotten, and against an owner that is asked at
// every iteration of the loop, when the owner is new.
TEST_F(QuotaTest, WaitsForTheTokensOfANewOwner) {
  owner_.Restart(clock_.Now());
  clock_.Advance(kIssueFence + milliseconds(50));
  EXPECT_EQ(Run(), verdict::kWaiting);
  EXPECT_FALSE(store_.NextRequest(clock_.Now()));
  clock_.Advance(milliseconds(50));
  ASSERT_TRUE(store_.HasRequestLater());
  const auto request = store_.NextRequest(clock_.Now());
  ASSERT_TRUE(request);
  store_.OnGrant(Answer(*request), clock_.Now());
  EXPECT_EQ(store_.Retry(kOrion, clock_.Now()).outcome, verdict::kAdmitted);
}

// Guards against a restart that brings a daemon more tokens, and against grants for requests of the
// process before it.
TEST_F(QuotaTest, ARestartedDaemonHasNoTokens) {
  ASSERT_EQ(store_.Take(kOrion, clock_.Now()).outcome, verdict::kWaiting);
  const auto request = store_.NextRequest(clock_.Now());
  const quota_grant grant = Answer(*request);
  quota_store restarted(kernel::nonce(1'000));
  EXPECT_EQ(restarted.Take(kOrion, clock_.Now()).outcome, verdict::kWaiting);
  restarted.OnGrant(grant, clock_.Now());
  EXPECT_EQ(restarted.Retry(kOrion, clock_.Now()).outcome, verdict::kWaiting);
}

// Guards against a bucket that keeps the rate and the burst of a limit that was lowered.
TEST_F(QuotaTest, ALoweredLimitHoldsForTheNextToken) {
  EXPECT_EQ(Issue(owner_, 1), 1);
  clock_.Advance(milliseconds(50));
  limit_ = {kernel::request_rate(1'000), kernel::request_amount(0)};
  EXPECT_EQ(Issue(owner_, 100), 1);
  clock_.Advance(milliseconds(900));
  EXPECT_EQ(Issue(owner_, 100), 0);
  clock_.Advance(milliseconds(100));
  EXPECT_EQ(Issue(owner_, 100), 1);
}

// Guards against a workspace whose refusals cost the owner one message each, and against one that
// stays refused when it has tokens again.
TEST_F(QuotaTest, RefusesLocallyUntilTheNextToken) {
  for (int i = 0; i < 5; ++i) EXPECT_EQ(Run(), verdict::kAdmitted);
  EXPECT_EQ(Run(), verdict::kRefused);
  const auto refused = store_.Take(kOrion, clock_.Now());
  EXPECT_EQ(refused.outcome, verdict::kRefused);
  EXPECT_EQ(refused.retry_after, milliseconds(100));
  EXPECT_FALSE(store_.NextRequest(clock_.Now()));
  clock_.Advance(milliseconds(100));
  EXPECT_EQ(Run(), verdict::kAdmitted);
}

// Guards against a workspace at several times its limit that causes a request to the owner for each
// of its requests: the next token of a large workspace is due within milliseconds.
TEST_F(QuotaTest, AsksTheOwnerRarelyAboveTheLimit) {
  ASSERT_EQ(store_.Take(kOrion, clock_.Now()).outcome, verdict::kWaiting);
  const auto request = store_.NextRequest(clock_.Now());
  ASSERT_TRUE(request);
  store_.OnGrant({request->nonce, {{kOrion, request_count(0), milliseconds(200), milliseconds(1)}}},
                 clock_.Now());
  EXPECT_EQ(store_.Retry(kOrion, clock_.Now()).outcome, verdict::kRefused);
  clock_.Advance(kMinLocalRefusal - milliseconds(1));
  EXPECT_EQ(store_.Take(kOrion, clock_.Now()).outcome, verdict::kRefused);
  EXPECT_FALSE(store_.NextRequest(clock_.Now()));
  clock_.Advance(milliseconds(1));
  EXPECT_EQ(store_.Take(kOrion, clock_.Now()).outcome, verdict::kWaiting);
}

// Guards against requests that wait forever because the message with theirs was lost.
TEST_F(QuotaTest, AsksAgainWhenNoGrantArrives) {
  ASSERT_EQ(store_.Take(kOrion, clock_.Now()).outcome, verdict::kWaiting);
  ASSERT_TRUE(store_.NextRequest(clock_.Now()));
  EXPECT_FALSE(store_.NextRequest(clock_.Now()));
  clock_.Advance(kGrantTimeout);
  store_.Tick(clock_.Now());
  ASSERT_TRUE(store_.NextRequest(clock_.Now()));
  store_.OnDisconnected();
  const auto request = store_.NextRequest(clock_.Now());
  ASSERT_TRUE(request);
  const std::vector<token_request> again{{kOrion, request_count(1), request_count(1), {}}};
  EXPECT_EQ(request->entries, again);
}

token_request Wanted(const kernel::workspace_id& workspace, std::int64_t wanted,
                     std::int64_t waiting) {
  return {workspace, request_count(wanted), request_count(waiting), request_count(waiting)};
}

// Guards against work of the leader that grows with the number of daemons, and against tokens that
// are given to the store of one daemon while the requests of another wait.
TEST(QuotaMergerTest, MergesTheRequestsForAWorkspaceAndDividesTheGrant) {
  const kernel::workspace_id vega("vega");
  const kernel::time_point now(std::chrono::seconds(100));
  quota_merger merger(kernel::nonce(50));
  merger.Add(pending_request_id(1), {kernel::nonce(7), {Wanted(kOrion, 4, 0)}}, now);
  merger.Add(pending_request_id(2), {kernel::nonce(7), {Wanted(vega, 1, 1), Wanted(kOrion, 3, 2)}},
             now);
  const auto merged = merger.NextRequest(now);
  ASSERT_TRUE(merged);
  EXPECT_EQ(merged->entries, std::vector({Wanted(kOrion, 7, 2), Wanted(vega, 1, 1)}));
  EXPECT_FALSE(merger.NextRequest(now));

  token_grant orion{kOrion, request_count(5), milliseconds(900), milliseconds(30)};
  token_grant none{vega, request_count(0), milliseconds(900), milliseconds(40), true};
  const auto answers = merger.OnGrant({merged->nonce, {orion, none}}, now);
  ASSERT_EQ(answers.size(), 2U);
  EXPECT_EQ(answers[1].request, pending_request_id(2));
  EXPECT_EQ(answers[1].grant.nonce, kernel::nonce(7));
  orion.granted = request_count(3);
  EXPECT_EQ(answers[0].grant.entries, std::vector({orion}));
  orion.granted = request_count(2);
  EXPECT_EQ(answers[1].grant.entries, std::vector({none, orion}));
  EXPECT_TRUE(merger.OnGrant({merged->nonce, {orion}}, now).empty()) << "granted twice";
  const auto statement = merger.NextRequest(now + kReservePeriod);
  ASSERT_TRUE(statement);
  ASSERT_EQ(statement->entries.size(), 1U) << "no tokens of vega were passed on";
  EXPECT_EQ(statement->entries[0].wanted, request_count(0));
  EXPECT_GT(statement->entries[0].demand, kernel::request_rate(0));
}

// Guards against requests that are answered late or in another order while a new owner has no
// tokens, and against a count of the same requests as further demand.
TEST(QuotaMergerTest, KeepsRequestsForWhichANewOwnerHasNoTokensYet) {
  const kernel::time_point now(std::chrono::seconds(100));
  quota_merger merger(kernel::nonce(50));
  merger.Add(pending_request_id(1), {kernel::nonce(7), {Wanted(kOrion, 1, 1)}}, now);
  const auto first = merger.NextRequest(now);
  ASSERT_TRUE(first);
  const token_grant none{kOrion, request_count(0), milliseconds(900), milliseconds(40), true};
  EXPECT_TRUE(merger.OnGrant({first->nonce, {none}}, now).empty());
  const auto second = merger.NextRequest(now);
  ASSERT_TRUE(second);
  EXPECT_EQ(second->entries[0].waiting, request_count(1));
  EXPECT_EQ(second->entries[0].arrived, request_count(0));
}

// Guards against requests that stay with an owner that no longer answers, and against tokens for
// requests that the daemon has sent again meanwhile.
TEST(QuotaMergerTest, SendsRequestsToTheNextOwnerUntilDaemonsAskAgain) {
  const kernel::time_point now(std::chrono::seconds(100));
  quota_merger merger(kernel::nonce(50));
  merger.Add(pending_request_id(1), {kernel::nonce(7), {Wanted(kOrion, 1, 1)}}, now);
  const auto first = merger.NextRequest(now);
  ASSERT_TRUE(first);
  merger.OnOwnerChanged();
  const auto second = merger.NextRequest(now + kGrantTimeout);
  ASSERT_TRUE(second);
  EXPECT_NE(second->nonce, first->nonce);
  EXPECT_EQ(second->entries, first->entries);
  merger.OnOwnerChanged();
  EXPECT_FALSE(merger.NextRequest(now + kGrantTimeout + milliseconds(1)));
  EXPECT_FALSE(merger.HasWork());
}

// Guards against requests that wait for an owner that does not answer although the control host
// has a reserve, and against a reserve that is used after its expiry or twice.
TEST(QuotaMergerTest, AnswersFromTheReserveWhileTheOwnerIsSilent) {
  kernel::time_point now(std::chrono::seconds(100));
  quota_merger merger(kernel::nonce(50));
  const auto ask = [&](std::uint64_t id) {
    merger.Add(pending_request_id(id), {kernel::nonce(id), {Wanted(kOrion, 1, 1)}}, now);
  };
  ask(1);
  const auto first = merger.NextRequest(now);
  merger.OnGrant({first->nonce, {{kOrion, request_count(1), milliseconds(900), {}}}}, now);
  now += kReservePeriod;
  const auto statement = merger.NextRequest(now);
  ASSERT_TRUE(statement);
  token_grant reserve{kOrion, request_count(0), milliseconds(900), {}};
  reserve.reserved = request_count(2);
  reserve.reserve_lifetime = kReserveLifetime;
  merger.OnGrant({statement->nonce, {reserve}}, now);
  for (std::uint64_t id = 2; id < 5; ++id) ask(id);
  EXPECT_TRUE(merger.Tick(now).empty());
  now += kOwnerSilence;
  const auto answers = merger.Tick(now);
  ASSERT_EQ(answers.size(), 2U);
  EXPECT_EQ(answers[0].grant.entries[0].granted, request_count(1));
  EXPECT_EQ(answers[0].grant.entries[0].lifetime, milliseconds(900) + kOwnerSilence);
  // The next statement reports the use; the answer to the one before no longer counts.
  const auto next = merger.NextRequest(now + kReservePeriod);
  ASSERT_TRUE(next);
  EXPECT_EQ(next->entries[0].held, request_count(0));
  merger.OnGrant({statement->nonce, {reserve}}, now + kReservePeriod);
  EXPECT_TRUE(merger.Tick(now + kReservePeriod).empty());
  merger.OnGrant({next->nonce, {reserve}}, now + kReserveLifetime + kReservePeriod);
  ask(5);
  EXPECT_TRUE(merger.Tick(now + kReserveLifetime + kReservePeriod).empty()) << "expired";
}

// Guards against reserves that together exceed their bound: because an answer was lost, because
// the tokens of an earlier owner are unknown, or because a delayed statement is taken for a new
// one.
TEST(ReserveLedgerTest, CountsWhatControlHostsMayHold) {
  kernel::time_point now(std::chrono::seconds(100));
  reserve_ledger ledger;
  const auto update = [&](const char* host, std::uint64_t id, std::int64_t held, bool unknown) {
    return ledger.Update({kernel::host_id(host), kernel::nonce(id), request_count(held),
                          kernel::request_rate(100'000)},
                         {10, 100, unknown}, now);
  };
  EXPECT_EQ(update("a", 1, 4, true).total, 4) << "kept, but nothing added";
  EXPECT_EQ(update("a", 2, 4, false).total, 10);
  EXPECT_EQ(update("b", 1, 9, false).total, 0) << "held is more than the owner ever issued";
  EXPECT_EQ(update("a", 3, 4, false).total, 5) << "the answer was lost; half belongs to b now";
  EXPECT_EQ(update("b", 2, 0, false).total, 5);
  EXPECT_FALSE(update("b", 1, 0, false).is_valid);
  now += kReserveLifetime;
  ledger.DropExpired(now);
  EXPECT_TRUE(ledger.empty());
}

}  // namespace
}  // namespace cornelweir::quota
