#include "cornelweir/loop.h"

#include <gtest/gtest.h>

#include <csignal>
#include <memory>
#include <optional>
#include <vector>

namespace cornelweir::loop {
namespace {

using std::chrono::microseconds;

TEST(Timer, RunsOnceOrPeriodically) {
  event_loop loop;
  timer once(loop);
  timer periodic(loop);
  int runs = 0;
  int periods = 0;
  once.Start(microseconds(1), [&] { ++runs; });
  periodic.StartPeriodic(microseconds(1), [&] {
    if (++periods == 3) periodic.Cancel();
  });
  loop.Run();
  EXPECT_EQ(runs, 1);
  EXPECT_EQ(periods, 3);
  EXPECT_FALSE(once.running());
}

// Guards against a callback that runs after its timer was cancelled, restarted or destroyed
// although its delay had already passed and its completion was queued.
TEST(Timer, NeverRunsAfterItsEnd) {
  event_loop loop;
  std::vector<int> ran;
  timer cancelled(loop);
  timer restarted(loop);
  auto destroyed = std::make_unique<timer>(loop);
  timer first(loop);
  // All four have expired when the loop begins, and the first one ends the other three.
  first.Start(microseconds(0), [&] {
    cancelled.Cancel();
    restarted.Start(microseconds(1), [&] { ran.push_back(4); });
    destroyed.reset();
  });
  cancelled.Start(microseconds(0), [&] { ran.push_back(1); });
  restarted.Start(microseconds(0), [&] { ran.push_back(2); });
  destroyed->Start(microseconds(0), [&] { ran.push_back(3); });
  loop.Run();
  EXPECT_EQ(ran, std::vector<int>{4});
}

// Guards against use of a timer's callback after the callback has destroyed its timer.
TEST(Timer, MayDestroyItselfInItsCallback) {
  event_loop loop;
  auto self = std::make_unique<timer>(loop);
  int runs = 0;
  self->StartPeriodic(microseconds(1), [&] {
    self.reset();
    ++runs;
  });
  loop.Run();
  EXPECT_EQ(runs, 1);
}

// Guards against a signal that ends the process or is reported once only.
TEST(EventLoop, ReportsEverySignal) {
  event_loop loop;
  std::vector<process_signal> seen;
  loop.OnSignal([&](process_signal signal) {
    seen.push_back(signal);
    if (seen.size() == 2) return loop.Stop();
    std::raise(SIGHUP);
  });
  std::raise(SIGTERM);
  loop.Run();
  EXPECT_EQ(seen,
            (std::vector<process_signal>{process_signal::kTerminate, process_signal::kHangUp}));
}

}  // namespace
}  // namespace cornelweir::loop
