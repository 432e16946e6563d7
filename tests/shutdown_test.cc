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
