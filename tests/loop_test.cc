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

// Guards against a callback that runs after its timer was cancelled, restarted or destroyed, which
// can happen if the delay has already passed and the completion is queued.
TEST(Timer, DoesNotRunAfterCancelRestartOrDestruction) {
  event_loop loop;
  std::vector<int> callbacks_run;
  timer cancelled(loop);
  timer restarted(loop);
  auto destroyed = std::make_unique<timer>(loop);
  timer first(loop);
  // All four have expired when the loop starts; the first callback stops the other three timers.
  first.Start(microseconds(0), [&] {
    cancelled.Cancel();
    restarted.Start(microseconds(1), [&] { callbacks_run.push_back(4); });
    destroyed.reset();
  });
  cancelled.Start(microseconds(0), [&] { callbacks_run.push_back(1); });
  restarted.Start(microseconds(0), [&] { callbacks_run.push_back(2); });
  destroyed->Start(microseconds(0), [&] { callbacks_run.push_back(3); });
  loop.Run();
  EXPECT_EQ(callbacks_run, std::vector<int>{4});
}

// Guards against a use after free when a callback destroys its own timer.
TEST(Timer, CanBeDestroyedByItsCallback) {
  event_loop loop;
  auto periodic_timer = std::make_unique<timer>(loop);
  int runs = 0;
  periodic_timer->StartPeriodic(microseconds(1), [&] {
    periodic_timer.reset();
    ++runs;
  });
  loop.Run();
  EXPECT_EQ(runs, 1);
}

// Guards against a signal that terminates the process or is reported only the first time.
TEST(EventLoop, ReportsEverySignal) {
  event_loop loop;
  std::vector<process_signal> received_signals;
  loop.OnSignal([&](process_signal signal) {
    received_signals.push_back(signal);
    if (received_signals.size() == 2) return loop.Stop();
    std::raise(SIGHUP);
  });
  std::raise(SIGTERM);
  loop.Run();
  EXPECT_EQ(received_signals,
            (std::vector<process_signal>{process_signal::kTerminate, process_signal::kHangUp}));
}

}  // namespace
}  // namespace cornelweir::loop
