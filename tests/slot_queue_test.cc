// Tests which requests run on an upstream, which are queued and which are refused.

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <set>
#include <vector>

#include "cornelweir/admission.h"

namespace cornelweir::admission {
namespace {

using kind = slot_decision::kind;
using std::chrono::milliseconds;

constexpr kernel::time_point kStart{std::chrono::seconds(100)};

slot_request Request(std::uint64_t id, int objective_ms, int priority = 1, bool nested = false,
                     int deadline_ms = 1'000) {
  slot_request request;
  request.id = ticket(id);
  request.nested = nested;
  request.priority = priority;
  request.objective = kStart + milliseconds(objective_ms);
  request.deadline = kStart + milliseconds(deadline_ms);
  request.run_time = milliseconds(100);
  return request;
}

slot_request OfRoute(slot_request request, const char* route) {
  request.route = kernel::route_name(route);
  return request;
}

// Returns a queue with this many slots whose mean run time is 100 ms.
slot_queue Queue(std::int64_t slots) {
  slot_queue queue;
  queue.SetSlots(slots, kStart);
  queue.Submit(Request(1'000, 500), kStart);
  queue.Release(ticket(1'000), milliseconds(100), kStart);
  return queue;
}

// Guards against running requests whose large responses would be late: the upstream has free slots,
// but the network of its host is saturated.
TEST(SlotQueue, RefusesALargeResponseThatTheNetworkCannotSendInTime) {
  slot_queue queue = Queue(4);
  slot_request large = Request(1, 500);
  large.transfer_time = milliseconds(350);
  EXPECT_EQ(queue.Submit(large, kStart).outcome, kind::kRun);
  large.id = ticket(2);
  large.transfer_time = milliseconds(450);
  EXPECT_EQ(queue.Submit(large, kStart).outcome, kind::kRefuse);
  EXPECT_EQ(queue.Submit(Request(3, 500), kStart).outcome, kind::kRun)
      << "a small response was refused";
}

// Guards against runs in vain that take the slots of others: a request whose response may be
// dropped runs on a full network only if it gets a slot at once.
TEST(SlotQueue, RunsForAFullNetworkOnlyWithASlotToSpare) {
  slot_queue queue = Queue(1);
  slot_request large = Request(1, 500);
  large.transfer_time = milliseconds(5'000);
  EXPECT_EQ(queue.Submit(large, kStart).outcome, kind::kRefuse) << "it may not be dropped";
  large.least_transfer_time = milliseconds(100);
  EXPECT_EQ(queue.Submit(large, kStart).outcome, kind::kRun);
  large.id = ticket(2);
  EXPECT_EQ(queue.Submit(large, kStart).outcome, kind::kRefuse) << "the slot is taken";
}

// Guards against running a queued request whose deadline passed while the process was paused: the
// next slot may become free before the expired requests are removed.
TEST(SlotQueue, DoesNotRunAQueuedRequestAfterItsDeadline) {
  slot_queue queue = Queue(1);
  ASSERT_EQ(queue.Submit(Request(1, 500), kStart).outcome, kind::kRun);
  ASSERT_EQ(queue.Submit(Request(2, 500), kStart).outcome, kind::kQueue);
  ASSERT_EQ(queue.Submit(Request(3, 5'000, 1, false, 6'000), kStart).outcome, kind::kQueue);
  const kernel::time_point after_pause = kStart + milliseconds(3'000);
  EXPECT_EQ(queue.Release(ticket(1), milliseconds(100), after_pause),
            std::vector<ticket>{ticket(3)});
  EXPECT_EQ(queue.Expire(after_pause), std::vector<ticket>{ticket(2)});
}

// Guards against running more requests on an upstream than it has slots: some upstreams never
// answer the excess ones.
TEST(SlotQueue, NeverRunsMoreThanTheSlots) {
  EXPECT_TRUE(rc::check([] {
    slot_queue queue;
    const auto slots = *rc::gen::inRange<std::int64_t>(1, 4);
    queue.SetSlots(slots, kStart);
    std::set<ticket> running;
    const auto add_running = [&](const std::vector<ticket>& admitted) {
      for (const ticket& id : admitted) {
        RC_ASSERT(running.insert(id).second);
      }
    };
    for (std::uint64_t step = 1; step < 60; ++step) {
      if (running.empty() || *rc::gen::inRange(0, 3) > 0) {
        const auto decision =
            queue.Submit(Request(step, *rc::gen::inRange(1, 900), *rc::gen::inRange(0, 3),
                                 *rc::gen::arbitrary<bool>()),
                         kStart);
        if (decision.outcome == kind::kRun) add_running({ticket(step)});
      } else {
        const ticket ended = *running.begin();
        running.erase(ended);
        add_running(queue.Release(ended, milliseconds(*rc::gen::inRange(1, 200)), kStart));
      }
      RC_ASSERT(static_cast<std::int64_t>(running.size()) <= slots);
      RC_ASSERT(queue.running() == static_cast<std::int64_t>(running.size()));
    }
  }));
}

// Guards against queueing requests until their responses are late, when their callers could have
// used another upstream.
TEST(SlotQueue, RefusesAtOnceRequestsThatCannotMeetTheirObjective) {
  slot_queue queue = Queue(1);
  EXPECT_EQ(queue.Submit(Request(1, 300), kStart).outcome, kind::kRun);
  EXPECT_EQ(queue.Submit(Request(2, 300), kStart).outcome, kind::kQueue);
  EXPECT_EQ(queue.Submit(Request(3, 300), kStart).outcome, kind::kRefuse);
  EXPECT_EQ(queue.Submit(Request(4, 400), kStart).outcome, kind::kQueue);
}

// Guards against refusing a late request although a slot is free.
TEST(SlotQueue, RunsALateRequestIfASlotIsFree) {
  slot_queue queue = Queue(1);
  EXPECT_EQ(queue.Submit(Request(1, 0), kStart).outcome, kind::kRun);
}

// Guards against running requests whose responses would be discarded.
TEST(SlotQueue, RefusesRequestsThatCannotEndBeforeTheirDeadline) {
  slot_queue queue = Queue(1);
  EXPECT_EQ(queue.Submit(Request(1, 50, 1, false, 59), kStart).outcome, kind::kRefuse);
  EXPECT_EQ(queue.Submit(Request(2, 50, 1, false, 60), kStart).outcome, kind::kRun);
}

// Guards against less urgent requests that run first, also nested ones: those have the priority of
// their parents.
TEST(SlotQueue, ServesByPriorityThenLatestStart) {
  slot_queue queue = Queue(4);
  for (std::uint64_t id = 1; id <= 4; ++id) queue.Submit(Request(id, 500), kStart);
  queue.Submit(Request(10, 500, 2), kStart);
  queue.Submit(Request(11, 500, 1), kStart);
  slot_request longer = Request(12, 520, 1);
  longer.run_time = milliseconds(150);
  queue.Submit(longer, kStart);
  queue.Submit(Request(13, 10, 3, true), kStart);
  queue.Submit(Request(14, 450, 1, true), kStart);
  std::vector<ticket> order;
  for (std::uint64_t id : {1, 2, 3, 4, 14}) {
    for (const ticket& next : queue.Release(ticket(id), std::nullopt, kStart)) {
      order.push_back(next);
    }
  }
  EXPECT_EQ(order, (std::vector{ticket(14), ticket(12), ticket(11), ticket(10), ticket(13)}));
}

// Guards against nested requests that take the slots which others need to meet their objectives,
// and against refusing nested requests that can still wait.
TEST(SlotQueue, DefersANestedRequestThatAnotherWouldWaitForTooLong) {
  slot_queue queue = Queue(1);
  queue.Submit(Request(1, 500), kStart);
  EXPECT_EQ(queue.Submit(Request(2, 220, 1, true), kStart).outcome, kind::kQueue);
  const auto other = queue.Submit(Request(3, 230), kStart);
  EXPECT_EQ(other.outcome, kind::kQueue);
  EXPECT_TRUE(other.refused.empty());
  EXPECT_EQ(queue.Release(ticket(1), milliseconds(100), kStart), std::vector{ticket(3)});
  EXPECT_EQ(queue.Release(ticket(3), milliseconds(100), kStart), std::vector{ticket(2)});
}

// The opposite: the slot of a more urgent parent would be wasted.
TEST(SlotQueue, DoesNotDeferANestedRequestOfAMoreUrgentParent) {
  slot_queue queue = Queue(1);
  queue.Submit(Request(1, 500), kStart);
  EXPECT_EQ(queue.Submit(Request(2, 220, 0, true), kStart).outcome, kind::kQueue);
  EXPECT_EQ(queue.Submit(Request(3, 230), kStart).outcome, kind::kRefuse);
}

// Guards against refusing several short requests for the sake of one long one.
TEST(SlotQueue, RefusesTheLongestOfTheRequestsThatCannotAllEndInTime) {
  slot_queue queue = Queue(1);
  queue.Submit(Request(1, 500), kStart);
  slot_request long_request = Request(2, 900);
  long_request.run_time = milliseconds(400);
  EXPECT_EQ(queue.Submit(long_request, kStart).outcome, kind::kQueue);
  slot_request short_request = Request(3, 1'000);
  short_request.run_time = milliseconds(450);
  EXPECT_EQ(queue.Submit(short_request, kStart).outcome, kind::kRefuse);
  EXPECT_TRUE(queue.Submit(Request(4, 630), kStart).refused.empty());
  EXPECT_EQ(queue.Submit(Request(5, 620), kStart).refused,
            (std::vector{slot_refusal{ticket(2), slot_refusal_cause::kOrder}}));
}

// Guards against starting requests that time out because runs are slower at present than usual.
TEST(SlotQueue, RefusesRequestsThatAreLikelyToRunPastTheirDeadline) {
  slot_queue queue = Queue(1);
  slot_request slow = Request(1, 300, 1, false, 400);
  slow.safe_run_time = milliseconds(401);
  EXPECT_EQ(queue.Submit(slow, kStart).outcome, kind::kRefuse);
  slow.safe_run_time = milliseconds(400);
  EXPECT_EQ(queue.Submit(slow, kStart).outcome, kind::kRun);
}

// Guards against requests that hold a slot while their calls wait elsewhere until they time out,
// and against others that wait behind a request that is held back.
TEST(SlotQueue, HoldsBackARequestWhoseCallsWouldWaitTooLong) {
  slot_queue queue = Queue(2);
  slot_request calling = Request(1, 500, 1, false, 600);
  calling.route = kernel::route_name("calling");
  calling.call_wait = milliseconds(550);
  EXPECT_EQ(queue.Submit(calling, kStart).outcome, kind::kQueue);
  EXPECT_EQ(queue.Submit(Request(2, 500), kStart).outcome, kind::kRun);
  EXPECT_TRUE(queue.AdmitQueued(kStart).empty());
  queue.SetCallWait(calling.route, milliseconds(100));
  EXPECT_EQ(queue.AdmitQueued(kStart), std::vector{ticket(1)});
  calling.id = ticket(3);
  queue.Submit(calling, kStart);
  EXPECT_EQ(queue.Expire(kStart + milliseconds(541)), std::vector{ticket(3)});
}

// Occupies the only slot, submits ten requests of the route "long" that would be late and cancels
// those that are queued, and queues a request of another route.
void RefuseRouteOften(slot_queue& queue, bool has_alternative) {
  ASSERT_EQ(queue.Submit(Request(1, 500), kStart).outcome, kind::kRun);
  for (std::uint64_t id = 10; id < 20; ++id) {
    slot_request late = OfRoute(Request(id, 150), "long");
    late.has_alternative = has_alternative;
    queue.Submit(late, kStart);
    queue.Cancel(late.id, kStart);
  }
  ASSERT_EQ(queue.Submit(Request(2, 220), kStart).outcome, kind::kQueue);
}

// Guards against a route that goes before the calls of running upstreams, because its requests are
// refused at this upstream and served by the next one.
TEST(SlotQueue, PromotesARouteThatIsRefusedOftenOnlyWithoutAnAlternative) {
  for (const bool has_alternative : {true, false}) {
    slot_queue queue = Queue(1);
    RefuseRouteOften(queue, has_alternative);
    slot_request request = OfRoute(Request(3, 230), "long");
    request.has_alternative = has_alternative;
    EXPECT_EQ(queue.Submit(request, kStart).outcome,
              has_alternative ? kind::kRefuse : kind::kQueue);
  }
}

// Guards against a log and metrics that name the objective as the missed bound of a promoted
// request, which may run until its deadline.
TEST(SlotQueue, NamesTheDeadlineAsTheBoundThatAPromotedRequestMisses) {
  slot_queue queue = Queue(1);
  RefuseRouteOften(queue, false);
  ASSERT_EQ(queue.Submit(OfRoute(Request(3, 230), "long"), kStart).outcome, kind::kQueue);
  const auto last = queue.Submit(Request(4, 5'000, 1, false, 6'000), kStart + milliseconds(850));
  EXPECT_EQ(last.refused, (std::vector{slot_refusal{ticket(3), slot_refusal_cause::kDeadline}}));
}

// Guards against a route that counts as served because its queued requests were cancelled: the
// share of the work that they had asked for is not used.
TEST(SlotQueue, CancelledRequestsAreNotCountedAsServed) {
  slot_queue queue = Queue(1);
  ASSERT_EQ(queue.Submit(OfRoute(Request(1, 500), "busy"), kStart).outcome, kind::kRun);
  for (std::uint64_t id = 10; id < 20; ++id) {
    ASSERT_EQ(queue.Submit(OfRoute(Request(id, 500), "cancelled"), kStart).outcome, kind::kQueue);
    ASSERT_TRUE(queue.Cancel(ticket(id), kStart));
  }
  ASSERT_EQ(queue.Submit(OfRoute(Request(2, 220), "busy"), kStart).outcome, kind::kQueue);
  EXPECT_EQ(queue.Submit(OfRoute(Request(3, 230), "cancelled"), kStart).outcome, kind::kQueue);
}

// Guards against a less urgent request that stays queued although it would end too late.
TEST(SlotQueue, DisplacesRequestsThatAMoreUrgentOneDelaysTooLong) {
  slot_queue queue = Queue(1);
  queue.Submit(Request(1, 300), kStart);
  EXPECT_EQ(queue.Submit(Request(2, 300, 2), kStart).outcome, kind::kQueue);
  const auto urgent = queue.Submit(Request(3, 300, 1), kStart);
  EXPECT_EQ(urgent.outcome, kind::kQueue);
  EXPECT_EQ(urgent.refused, (std::vector{slot_refusal{ticket(2), slot_refusal_cause::kOrder}}));
}

// Guards against queued requests that are never answered when the upstream leaves, and against
// requests that end twice.
TEST(SlotQueue, EndsQueuedRequestsOnce) {
  slot_queue queue = Queue(1);
  queue.Submit(Request(1, 500), kStart);
  queue.Submit(Request(2, 500), kStart);
  queue.Submit(Request(3, 500), kStart);
  EXPECT_TRUE(queue.Cancel(ticket(2), kStart));
  EXPECT_FALSE(queue.Cancel(ticket(2), kStart));
  EXPECT_EQ(queue.Expire(kStart + milliseconds(950)), std::vector{ticket(3)});
  EXPECT_TRUE(queue.Clear().empty());
  EXPECT_TRUE(queue.Release(ticket(1), std::nullopt, kStart).empty());
  EXPECT_TRUE(queue.Release(ticket(1), std::nullopt, kStart).empty());
}

// Guards against sending an upstream more requests a second than it takes: those beyond its limit
// wait although slots are free, and are refused at once if they would wait too long.
TEST(SlotQueue, StartsRequestsWithinTheRateLimit) {
  slot_queue queue = Queue(6);
  queue.SetRateLimit(kernel::request_rate(4'000), kStart);
  EXPECT_EQ(queue.Submit(Request(1, 500), kStart).outcome, kind::kRun);
  EXPECT_EQ(queue.Submit(Request(2, 500), kStart).outcome, kind::kQueue);
  EXPECT_EQ(queue.Submit(Request(3, 500), kStart).outcome, kind::kRefuse)
      << "it would wait for 500 ms";
  EXPECT_EQ(queue.ExpectedWait(kStart), milliseconds(500));
  EXPECT_TRUE(queue.AdmitQueued(kStart + milliseconds(240)).empty());
  EXPECT_EQ(queue.AdmitQueued(kStart + milliseconds(250)), std::vector{ticket(2)});
  EXPECT_EQ(queue.Release(ticket(1), milliseconds(100), kStart + milliseconds(260)),
            std::vector<ticket>());
}

// Guards against daemons that count slots which the rate limit leaves idle, and so keep choosing an
// upstream that can't take more.
TEST(SlotQueue, ReportsOnlySlotsThatTheRateLimitLetsRequestsUse) {
  slot_queue queue = Queue(6);
  EXPECT_EQ(queue.UsableSlots(), 6);
  queue.SetRateLimit(kernel::request_rate(15'000), kStart);
  EXPECT_EQ(queue.UsableSlots(), 2) << "15 requests a second that take 100 ms each";
  queue.SetRateLimit(kernel::request_rate(1'000), kStart);
  EXPECT_EQ(queue.UsableSlots(), 1);
  queue.SetRateLimit(kernel::request_rate(900'000), kStart);
  EXPECT_EQ(queue.UsableSlots(), 6);
}

}  // namespace
}  // namespace cornelweir::admission
