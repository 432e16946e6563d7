#include "cornelweir/admission.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace cornelweir::admission {
namespace {

using outcome::refusal_reason;
using std::chrono::milliseconds;
using std::chrono::seconds;

const kernel::time_point kStart{seconds(1000)};

kernel::request_count Count(std::int64_t value) { return kernel::request_count(value); }
kernel::workspace_id Workspace(int number) {
  return kernel::workspace_id("t" + std::to_string(number));
}

// Random numbers from which a property derives its steps.
std::vector<std::uint32_t> Schedule(std::size_t length) {
  return *rc::gen::container<std::vector<std::uint32_t>>(length, rc::gen::inRange(0U, 1U << 30));
}

admission_result Submit(admission_controller& controller, std::uint64_t id, int workspace,
                        priority_class priority = priority_class::kNormal,
                        kernel::microseconds timeout = seconds(10)) {
  return controller.Submit(ticket(id), Workspace(workspace), priority,
                           outcome::deadline::After(timeout, kStart), kStart);
}

TEST(AdmissionController, QueuesAboveTheLimitAndAdmitsOnRelease) {
  admission_controller controller;
  controller.Configure({Count(1), Count(5), Count(1), milliseconds(200)}, Count(5), Count(5),
                       kStart);
  EXPECT_EQ(Submit(controller, 1, 1).state, admission_state::kAdmitted);
  EXPECT_EQ(Submit(controller, 2, 1).state, admission_state::kQueued);
  EXPECT_EQ(Submit(controller, 3, 1).reason, refusal_reason::kQueueFull);
  EXPECT_EQ(controller.Release(ticket(1), kStart), std::vector<ticket>{ticket(2)});
}

TEST(AdmissionController, ReportsTheLimitThatRefuses) {
  admission_controller controller;
  const admission_limits limits{Count(2), Count(1), Count(0), milliseconds(200)};
  EXPECT_EQ(Submit(controller, 1, 1).reason, refusal_reason::kNoUpstream);
  controller.Configure(limits, Count(2), Count(0), kStart);
  EXPECT_EQ(Submit(controller, 1, 1).reason, refusal_reason::kServiceLimit);
  controller.Configure(limits, Count(2), Count(1), kStart);
  EXPECT_EQ(Submit(controller, 1, 1).state, admission_state::kAdmitted);
  EXPECT_EQ(Submit(controller, 2, 1).reason, refusal_reason::kWorkspaceLimit);
  EXPECT_EQ(Submit(controller, 3, 2).reason, refusal_reason::kServiceLimit);
  EXPECT_EQ(Submit(controller, 4, 2, {}, seconds(0)).reason, refusal_reason::kDeadlinePassed);
}

// Guards against a workspace that fills the queue, so that requests of all other workspaces are
// refused.
TEST(AdmissionController, DisplacesRequestsOfTheWorkspaceWithTheMostQueued) {
  admission_controller controller;
  controller.Configure({Count(1), Count(1), Count(4), seconds(1)}, Count(1), Count(1), kStart);
  for (std::uint64_t id = 0; id < 5; ++id) Submit(controller, id, 1);
  EXPECT_EQ(Submit(controller, 5, 1).reason, refusal_reason::kWorkspaceLimit);
  const auto result = Submit(controller, 6, 2, priority_class::kLow);
  EXPECT_EQ(result.state, admission_state::kQueued);
  EXPECT_EQ(result.displaced, (refused_ticket{ticket(4), refusal_reason::kQueueFull}));
  // The workspaces now have 3 and 1 requests queued. Further requests displace others until the
  // workspaces are within one request of each other.
  EXPECT_TRUE(Submit(controller, 7, 2).displaced.has_value());
  EXPECT_TRUE(Submit(controller, 8, 3).displaced.has_value());
  EXPECT_EQ(Submit(controller, 9, 3).state, admission_state::kRefused);
  EXPECT_EQ(controller.queued(), Count(4));
}

// Guards against a workspace that starves others by sending all its requests in the highest class.
TEST(AdmissionController, ServesLowerClassesWhileAHigherOneWaits) {
  admission_controller controller;
  controller.Configure({Count(1), Count(5), Count(100), seconds(9)}, Count(1), Count(1), kStart);
  for (std::uint64_t id = 0; id < 40; ++id) Submit(controller, id, 1, priority_class::kHigh);
  Submit(controller, 100, 2, priority_class::kLow);
  Submit(controller, 101, 3, priority_class::kNormal);
  ticket running(0);
  std::vector<ticket> served;
  for (int i = 0; i < 20; ++i) {
    const auto admitted = controller.Release(running, kStart);
    ASSERT_EQ(admitted.size(), 1U);
    running = admitted.front();
    if (running.value() >= 100) served.push_back(running);
  }
  EXPECT_EQ(served.size(), 2U);
}

// Guards against running an expired request because a slot became free before Expire() was called,
// and against never returning it.
TEST(AdmissionController, ExpiredRequestIsReturnedOnceAndNeverRun) {
  admission_controller controller;
  controller.Configure({Count(1), Count(5), Count(5), milliseconds(200)}, Count(1), Count(1),
                       kStart);
  Submit(controller, 1, 1);
  Submit(controller, 2, 1);
  Submit(controller, 3, 1, priority_class::kNormal, milliseconds(100));
  EXPECT_EQ(controller.NextExpiry(), kStart + milliseconds(100));
  const kernel::time_point late = kStart + milliseconds(200);
  EXPECT_TRUE(controller.Release(ticket(1), late).empty());
  EXPECT_LE(*controller.NextExpiry(), late);
  EXPECT_EQ(controller.Expire(late),
            (std::vector<refused_ticket>{{ticket(3), refusal_reason::kDeadlinePassed},
                                         {ticket(2), refusal_reason::kQueueTimeout}}));
  EXPECT_TRUE(controller.Expire(late).empty());
  EXPECT_EQ(controller.NextExpiry(), std::nullopt);
}

TEST(AdmissionController, DrainRefusesQueuedRequestsAndLetsRunningOnesFinish) {
  admission_controller controller;
  controller.Configure({Count(1), Count(5), Count(5), seconds(1)}, Count(1), Count(1), kStart);
  Submit(controller, 1, 1);
  Submit(controller, 2, 1);
  EXPECT_EQ(controller.BeginDrain(),
            (std::vector<refused_ticket>{{ticket(2), refusal_reason::kShuttingDown}}));
  EXPECT_EQ(Submit(controller, 3, 1).reason, refusal_reason::kShuttingDown);
  EXPECT_EQ(controller.in_progress(), Count(1));
  EXPECT_TRUE(controller.Release(ticket(1), kStart).empty());
  EXPECT_EQ(controller.in_progress(), Count(0));
}

// Reference model: the state of each ticket as seen by the owner of a controller, and the checks
// that must hold after each call.
struct admission_oracle {
  struct waiting_request {
    int workspace;
    priority_class priority;
    kernel::time_point deadline;
    kernel::time_point expiry;
  };
  admission_limits limits;
  std::int64_t slots = 0;
  std::int64_t share = 0;
  std::map<ticket, int> running;
  std::map<ticket, waiting_request> waiting;
  std::map<int, std::int64_t> running_by_workspace;

  std::int64_t Capacity() const {
    return std::min({limits.upstream_in_flight.value(), slots, share});
  }
  void Run(ticket id, int workspace) {
    running[id] = workspace;
    RC_ASSERT(static_cast<std::int64_t>(running.size()) <= Capacity());
    RC_ASSERT(++running_by_workspace[workspace] <= limits.workspace_in_flight.value());
  }
  void RunQueued(const std::vector<ticket>& admitted, kernel::time_point now) {
    for (const ticket id : admitted) {
      RC_ASSERT(waiting.contains(id));
      const waiting_request request = waiting.at(id);
      RC_ASSERT(request.expiry > now);
      for (const auto& [other, candidate] : waiting) {
        if (candidate.priority != request.priority || candidate.expiry <= now) continue;
        if (candidate.workspace == request.workspace) {
          RC_ASSERT(candidate.deadline >= request.deadline);
        }
        RC_ASSERT(running_by_workspace[candidate.workspace] >=
                  running_by_workspace[request.workspace]);
      }
      waiting.erase(id);
      Run(id, request.workspace);
    }
    // No request that could run is still queued.
    for (const auto& [id, request] : waiting) {
      RC_ASSERT(request.expiry <= now || static_cast<std::int64_t>(running.size()) >= Capacity() ||
                running_by_workspace[request.workspace] >= limits.workspace_in_flight.value());
    }
  }
  void Refuse(const refused_ticket& refused) { RC_ASSERT(waiting.erase(refused.id) == 1U); }
};

// Guards against exceeded limits, tickets that are never answered or answered twice, slots that
// stay free while requests wait, and unfair order, under any sequence of calls.
RC_GTEST_PROP(AdmissionController, EnforcesLimitsAndAnswersEachTicketOnce, ()) {
  admission_controller controller;
  admission_oracle oracle;
  kernel::time_point now = kStart;
  std::uint64_t next_id = 0;
  for (const std::uint32_t step : Schedule(300)) {
    const std::uint32_t choice = step % 16;
    const std::uint32_t value = step / 16;
    if (choice < 8) {
      const ticket id(next_id++);
      const int workspace = static_cast<int>(value % 5);
      const auto priority = static_cast<priority_class>(value / 5 % 3);
      const outcome::deadline deadline(now + milliseconds(value / 16 % 400));
      const auto result = controller.Submit(id, Workspace(workspace), priority, deadline, now);
      if (result.displaced) oracle.Refuse(*result.displaced);
      RC_ASSERT((result.state == admission_state::kRefused) == result.reason.has_value());
      if (result.state == admission_state::kAdmitted) oracle.Run(id, workspace);
      if (result.state == admission_state::kQueued) {
        oracle.waiting[id] = {workspace, priority, deadline.time(),
                              std::min(deadline.time(), now + oracle.limits.queue_wait)};
        RC_ASSERT(controller.queued() <= oracle.limits.queue_length);
      }
    } else if (choice < 12 && !oracle.running.empty()) {
      const auto ended = std::next(oracle.running.begin(),
                                   static_cast<std::ptrdiff_t>(value % oracle.running.size()));
      const ticket id = ended->first;
      --oracle.running_by_workspace[ended->second];
      oracle.running.erase(ended);
      oracle.RunQueued(controller.Release(id, now), now);
    } else if (choice == 12) {
      now += milliseconds(value % 50);
      for (const refused_ticket& refused : controller.Expire(now)) {
        RC_ASSERT(oracle.waiting.contains(refused.id));
        RC_ASSERT(oracle.waiting.at(refused.id).expiry <= now);
        oracle.Refuse(refused);
      }
      for (const auto& [id, request] : oracle.waiting) RC_ASSERT(request.expiry > now);
    } else if (choice == 13 && !oracle.waiting.empty()) {
      const ticket id = std::next(oracle.waiting.begin(),
                                  static_cast<std::ptrdiff_t>(value % oracle.waiting.size()))
                            ->first;
      RC_ASSERT(controller.Cancel(id));
      oracle.waiting.erase(id);
      RC_ASSERT(!controller.Cancel(id));
    } else if (choice == 14) {
      oracle.limits = {Count(value % 7), Count(value / 7 % 4), Count(value / 28 % 9),
                       milliseconds(value / 256 % 200)};
      oracle.slots = 1 + value / 512 % 8;
      oracle.share = value / 4096 % 8;
      oracle.RunQueued(
          controller.Configure(oracle.limits, Count(oracle.slots), Count(oracle.share), now), now);
      RC_ASSERT(controller.queued() <= oracle.limits.queue_length);
      // Requests above a lowered queue length are returned by Expire() like expired ones.
      for (const refused_ticket& refused : controller.Expire(now)) oracle.Refuse(refused);
    } else {
      now += milliseconds(value % 20);
    }
    RC_ASSERT(controller.in_progress() == Count(static_cast<std::int64_t>(oracle.running.size())));
  }
  for (const refused_ticket& refused : controller.BeginDrain()) oracle.Refuse(refused);
  RC_ASSERT(oracle.waiting.empty());
}

std::vector<share_member> Members(const std::vector<std::int64_t>& slots) {
  std::vector<share_member> members;
  for (std::size_t i = 0; i < slots.size(); ++i) {
    members.push_back({kernel::upstream_id("u" + std::to_string(100 + i)), Count(slots[i])});
  }
  return members;
}

std::int64_t Sum(const std::vector<kernel::request_count>& shares) {
  std::int64_t sum = 0;
  for (const auto& share : shares) sum += share.value();
  return sum;
}

TEST(DivideLimit, SomeSharesAreZeroIfTheLimitIsSmall) {
  EXPECT_EQ(DivideLimit(Count(10), Members({20, 20, 20})),
            (std::vector{Count(4), Count(3), Count(3)}));
  EXPECT_EQ(DivideLimit(Count(2), Members({6, 6, 12, 0})),
            (std::vector{Count(1), Count(0), Count(1), Count(0)}));
  EXPECT_EQ(Sum(DivideLimit(Count(5), Members({0, 0}))), 0);
}

// Guards against shares whose sum is above or below the limit, and against shares that are not in
// proportion to the slots.
RC_GTEST_PROP(DivideLimit, SharesSumToTheLimitAndFollowTheSlots, ()) {
  const auto slots = *rc::gen::nonEmpty(
      rc::gen::container<std::vector<std::int64_t>>(rc::gen::inRange<std::int64_t>(1, 200)));
  const auto limit = *rc::gen::inRange<std::int64_t>(0, 5000);
  std::int64_t total = 0;
  for (const std::int64_t each : slots) total += each;
  const auto shares = DivideLimit(Count(limit), Members(slots));
  RC_ASSERT(Sum(shares) == limit);
  for (std::size_t i = 0; i < slots.size(); ++i) {
    RC_ASSERT(std::abs(shares[i].value() * total - limit * slots[i]) < total);
  }
}

TEST(LimitShare, DecreasesAtOnceAndIncreasesAfterALease) {
  limit_share share(kernel::upstream_id("u100"));
  EXPECT_EQ(share.Current(kStart), Count(0));
  share.Update(Count(12), Members({1, 1, 1}), kStart);
  kernel::time_point now = kStart;
  const auto advance = [&](kernel::microseconds by) {
    for (const kernel::time_point end = now + by; now < end; now += seconds(1)) {
      share.OnContact(now);
    }
    share.OnContact(now);
  };
  EXPECT_EQ(share.Current(now), Count(0));
  EXPECT_EQ(share.NextChange(now), kStart + seconds(5));
  advance(seconds(5));
  EXPECT_EQ(share.Current(now), Count(4));
  share.Update(Count(12), Members({1, 1, 1, 1}), now);
  EXPECT_EQ(share.Current(now), Count(3));
  share.Update(Count(12), Members({1, 1}), now);
  EXPECT_EQ(share.Current(now), Count(3));
  advance(seconds(4));
  EXPECT_EQ(share.Current(now), Count(3));
  advance(seconds(1));
  EXPECT_EQ(share.Current(now), Count(6));
  // A new limit comes with a new version of the table, which must be enforced within seconds.
  share.Update(Count(20), Members({1, 1}), now);
  EXPECT_EQ(share.Current(now), Count(10));
}

// Guards against a daemon that increases its share while it can't learn of daemons that joined.
TEST(LimitShare, DoesNotGrowWithoutContact) {
  limit_share share(kernel::upstream_id("u100"));
  share.Update(Count(12), Members({1, 1, 1}), kStart);
  for (int i = 0; i <= 5; ++i) share.OnContact(kStart + seconds(i));
  const kernel::time_point lost_at = kStart + seconds(5);
  share.Update(Count(12), Members({1, 1}), lost_at);
  EXPECT_EQ(share.Current(lost_at + seconds(60)), Count(4));
  share.OnContact(lost_at + seconds(60));
  EXPECT_EQ(share.Current(lost_at + seconds(60)), Count(4));
  for (int i = 60; i <= 65; ++i) share.OnContact(lost_at + seconds(i));
  EXPECT_EQ(share.Current(lost_at + seconds(65)), Count(6));
}

// Guards against the sum of the shares exceeding the service's limit while daemons learn of changes
// to the membership at different times, each in order and within a lease time. Partitioned daemons
// are not counted: the sum may exceed the limit by their shares.
RC_GTEST_PROP(LimitShare, SumStaysWithinTheLimitWhileMembershipsDiffer, ()) {
  constexpr std::size_t kDaemons = 5;
  const std::int64_t limit = *rc::gen::inRange(1, 60);
  struct daemon {
    limit_share share;
    std::size_t seen = 0;
    bool partitioned = false;
    kernel::microseconds delay{0};
  };
  std::vector<daemon> daemons;
  for (const auto& member : Members(std::vector<std::int64_t>(kDaemons, 1))) {
    daemons.push_back({limit_share(member.id), 0, false, {}});
  }
  std::vector<std::pair<kernel::time_point, std::vector<share_member>>> published;
  kernel::time_point now = kStart;
  for (const std::uint32_t step : Schedule(400)) {
    now += milliseconds(100 + step % 300);
    const std::uint32_t value = step / 1024;
    if (step / 512 % 2 == 0 && value % 4 == 0) {
      // An upstream with zero slots counts as not announced.
      std::vector<std::int64_t> slots;
      for (std::size_t i = 0; i < kDaemons; ++i) slots.push_back((value >> (4 + 3 * i)) % 8);
      published.emplace_back(now, Members(slots));
    } else if (value % 64 == 1) {
      daemon& chosen = daemons[value / 64 % kDaemons];
      chosen.partitioned = !chosen.partitioned;
    } else if (value % 8 == 2) {
      daemons[value / 8 % kDaemons].delay = milliseconds(value / 64 % 4900);
    }
    std::int64_t sum = 0;
    for (daemon& each : daemons) {
      if (!each.partitioned) {
        each.share.OnContact(now);
        while (each.seen < published.size() && published[each.seen].first + each.delay <= now) {
          each.share.Update(Count(limit), published[each.seen++].second, now);
        }
      }
      if (!each.partitioned) sum += each.share.Current(now).value();
    }
    RC_ASSERT(sum <= limit);
  }
}

}  // namespace
}  // namespace cornelweir::admission
