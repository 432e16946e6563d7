// Tests of the times and phases of a graceful stop.

#include "cornelweir/shutdown.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <chrono>
#include <vector>

namespace cornelweir::shutdown {
namespace {

// Guards against a process that stops its loop too late to end within its grace period, and against
// a period that is too short for the reserve.
TEST(StopTime, LeavesTimeForTheExit) {
  const kernel::time_point requested{std::chrono::seconds(100)};
  EXPECT_EQ(StopTime(requested, kernel::milliseconds(6'000)),
            requested + kernel::milliseconds(6'000) - kExitReserve);
  EXPECT_EQ(StopTime(requested, kernel::milliseconds(100)), requested);
}

using kernel::milliseconds;

constexpr kernel::time_point kStart{std::chrono::seconds(100)};

// The work of a process whose callers last sent a request at the start of the stop.
stop_work WorkWithRecentCaller() {
  stop_work work;
  work.last_request_at = kStart;
  return work;
}

stop_work WorkInProgress() {
  stop_work work = WorkWithRecentCaller();
  work.in_progress = true;
  return work;
}

stop_sequence Begun(milliseconds grace) {
  stop_sequence sequence;
  sequence.Begin(kStart, StopTime(kStart, grace));
  return sequence;
}

// Guards against a process that cuts requests although its grace period is not used up.
TEST(StopSequence, UsesTheWholeGracePeriodIfItIsNeeded) {
  for (const milliseconds grace : {milliseconds(6'000), milliseconds(10'000)}) {
    stop_sequence sequence = Begun(grace);
    const kernel::time_point finish_at = kStart + grace - kSidecarReserve;
    EXPECT_EQ(sequence.finish_at(), finish_at);
    sequence.Advance(kStart + kReadinessPropagationTime, WorkInProgress());
    EXPECT_EQ(sequence.Advance(finish_at - milliseconds(1), WorkInProgress()),
              stop_phase::kDraining);
    EXPECT_EQ(sequence.Advance(finish_at, WorkInProgress()), stop_phase::kClosing);
  }
}

// Guards against a stop that takes longer than its work.
TEST(StopSequence, EndsAtOnceWithNothingInProgress) {
  stop_sequence sequence = Begun(milliseconds(6'000));
  EXPECT_EQ(sequence.Advance(kStart, {}), stop_phase::kDraining);
  EXPECT_EQ(sequence.Advance(kStart, {}), stop_phase::kClosing);
}

// Guards against a process that turns callers away who can't know yet that it stops.
TEST(StopSequence, AcceptsConnectionsUntilCallersKnowThatItIsNotReady) {
  stop_sequence sequence = Begun(milliseconds(6'000));
  const kernel::time_point until = kStart + kReadinessPropagationTime;
  EXPECT_EQ(sequence.Advance(until - milliseconds(1), WorkWithRecentCaller()),
            stop_phase::kLeaving);
  EXPECT_EQ(sequence.Advance(until, WorkWithRecentCaller()), stop_phase::kDraining);
  stop_work connected = WorkWithRecentCaller();
  connected.callers_connected = true;
  EXPECT_EQ(sequence.Advance(until, connected), stop_phase::kDraining);
  EXPECT_EQ(sequence.Advance(until, WorkWithRecentCaller()), stop_phase::kClosing);
}

// Guards against a short grace period that is used up by accepting requests.
TEST(StopSequence, LeavesHalfOfAShortGracePeriodToTheRequests) {
  constexpr milliseconds kWorkingTime{600};
  stop_sequence sequence = Begun(kSidecarReserve + kWorkingTime);
  EXPECT_EQ(sequence.Advance(kStart + kWorkingTime / 2, WorkInProgress()), stop_phase::kDraining);
  EXPECT_EQ(sequence.Advance(kStart + kWorkingTime, WorkInProgress()), stop_phase::kClosing);
}

// Guards against a second signal that restarts or shortens the stop.
TEST(StopSequence, IsNotChangedByASecondSignal) {
  stop_sequence sequence = Begun(milliseconds(6'000));
  const kernel::time_point finish_at = sequence.finish_at();
  sequence.Advance(kStart + kReadinessPropagationTime, WorkInProgress());
  sequence.Begin(kStart + milliseconds(3'000), kStart + milliseconds(9'000));
  EXPECT_EQ(sequence.phase(), stop_phase::kDraining);
  EXPECT_EQ(sequence.finish_at(), finish_at);
}

// A caller's connection: the steps of the caller and the server in any order.
enum class step { kSendPart, kSendRest, kRespond, kStop };

struct connection_model {
  connection_intake intake;
  bool reading = false;
  std::size_t unanswered = 0;
  std::size_t taken_after_stop = 0;
  std::size_t closing_responses = 0;
  bool stopped = false;

  void Do(step next) {
    switch (next) {
      case step::kSendPart:
        reading = reading || intake.open();
        break;
      case step::kSendRest:
        if (!intake.open()) break;
        reading = false;
        ++unanswered;
        if (stopped) ++taken_after_stop;
        intake.OnTaken(true);
        break;
      case step::kRespond:
        if (unanswered == 0) break;
        --unanswered;
        if (intake.ClosesAfter(unanswered)) ++closing_responses;
        break;
      case step::kStop:
        if (!stopped) intake.BeginStop(unanswered, reading);
        stopped = true;
        break;
    }
  }
};

// Guards against a connection that is never told to close, one that is told while requests behind
// the response were taken, and one that takes requests without end, for every order of events.
TEST(ConnectionIntake, ClosesOnceWithTheResponseToItsLastRequest) {
  EXPECT_TRUE(rc::check([](const std::vector<std::uint8_t>& choices) {
    connection_model connection;
    for (const std::uint8_t choice : choices) {
      connection.Do(static_cast<step>(choice % 4));
      RC_ASSERT(connection.taken_after_stop <= 1U);
      RC_ASSERT(connection.closing_responses == 0U || connection.unanswered == 0U);
    }
    connection.Do(step::kStop);
    connection.Do(step::kSendRest);
    while (connection.unanswered > 0) connection.Do(step::kRespond);
    RC_ASSERT(connection.closing_responses == 1U);
    RC_ASSERT(!connection.intake.open());
  }));
}

}  // namespace
}  // namespace cornelweir::shutdown
