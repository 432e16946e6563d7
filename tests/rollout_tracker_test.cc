// Runs whole rollouts on a manual clock while the control group loses its leader or its majority,
// and daemons die or pause.

#include "cornelweir/src/rollout/rollout_tracker.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "cornelweir/rollout.h"

namespace cornelweir::rollout {
namespace {

const kernel::service_name kService("forms");
const kernel::software_version kOld("v1");
const kernel::software_version kNew("v2");
constexpr kernel::milliseconds kDuration{16'000};
constexpr double kLimit = 16;
constexpr std::size_t kUpstreams = 41;

// Times are in seconds since the order.
struct trouble {
  // The group has no leader from here on, until it is connected again and has elected one.
  double cut_from = 100;
  double cut_for = 0;
  // The daemon beside an old upstream stops for good.
  double dead_from = 100;
  // Another one does not run for a while.
  double paused_from = 100;
  double paused_for = 0;
  // More requests are queued than the new upstreams have slots.
  bool overloaded = false;
  double failing = 0;
  std::uint64_t seed = 1;
};

struct result {
  rollout_state state = rollout_state::kRunning;
  double seconds = 0;
  // Requests at old upstreams at the end, and old upstreams that took requests after it.
  int in_progress = 0;
  int open = 0;
  double target_requests = 0;
};

class group_simulation {
 public:
  explicit group_simulation(const trouble& simulated)
      : trouble_(simulated), random_(simulated.seed) {
    record_.service = kService;
    record_.target = kNew;
    record_.released = {kOld};
    record_.share = kCanaryShare;
    record_.duration = kDuration;
    record_.started = record_.revision = kernel::rollout_revision(1);
    tracker_.emplace(record_, Now());
    for (std::size_t i = 0; i < 2 * kUpstreams; ++i) {
      daemons_.push_back(std::make_unique<daemon>());
      daemons_.back()->reconnect = Uniform(0, 0.9);
      endpoints_.emplace_back(std::to_string(i));
    }
  }

  result Run() {
    while (result_.seconds == 0 && Seconds() < 2 * kLimit) Tick();
    for (const auto& run : runs_) {
      if (run.daemon < kUpstreams && IsUp(run.daemon)) ++result_.in_progress;
    }
    // Old upstreams whose daemons have not heard of the end must stay closed.
    for (int i = 0; i < 100; ++i) Tick();
    return result_;
  }

 private:
  struct daemon {
    rollout_table table{1};
    upstream_guard guard{table};
    double reconnect = 0;
    kernel::time_point reported_at;
  };
  struct request {
    std::size_t daemon;
    kernel::microseconds run_time;
    kernel::time_point ends_at;
  };

  kernel::time_point Now() const { return clock_.Now(); }
  double Seconds() const { return std::chrono::duration<double>(Now().time_since_epoch()).count(); }
  double Uniform(double from, double to) {
    return std::uniform_real_distribution<double>(from, to)(random_);
  }

  static constexpr double kElection = 0.9;
  static constexpr double kConfirmationAge = 0.5;
  bool HasLeader() const {
    return Seconds() < trouble_.cut_from ||
           Seconds() >= trouble_.cut_from + trouble_.cut_for + kElection;
  }
  // The second daemon pauses, the first one dies.
  bool IsUp(std::size_t index) const {
    if (index == 0) return Seconds() < trouble_.dead_from;
    const double paused = Seconds() - trouble_.paused_from;
    return index != 1 || paused < 0 || paused >= trouble_.paused_for;
  }
  bool IsConfirmed(std::size_t index) const {
    const double end = trouble_.cut_from + trouble_.cut_for + kElection;
    return IsUp(index) && (Seconds() < trouble_.cut_from + kConfirmationAge ||
                           Seconds() >= end + daemons_[index]->reconnect);
  }
  static const kernel::software_version& VersionOf(std::size_t index) {
    return index < kUpstreams ? kOld : kNew;
  }

  void Tick() {
    clock_.Advance(std::chrono::milliseconds(50));
    std::erase_if(runs_, [this](const request& run) {
      if (run.ends_at > Now() || !IsUp(run.daemon)) return false;
      const bool failed = run.daemon >= kUpstreams && Uniform(0, 1) < trouble_.failing;
      daemons_[run.daemon]->guard.Record(kService, kernel::route_name("r"),
                                         failed ? run_end::kServerError : run_end::kSuccess,
                                         run.run_time, false, Now());
      return true;
    });
    for (std::size_t i = 0; i < daemons_.size(); ++i) UpdateDaemon(i);
    for (int i = std::poisson_distribution<int>(50)(random_); i > 0; --i) SendRequest();
    if (HasLeader() && !had_leader_) tracker_->BeginLeading(Now());
    had_leader_ = HasLeader();
    if (had_leader_ && IsRunning(record_) && ++ticks_ % 5 == 0) Evaluate();
  }

  void UpdateDaemon(std::size_t index) {
    daemon& updated = *daemons_[index];
    if (!IsConfirmed(index)) return;
    updated.guard.OnConfirmed(Now());
    updated.table.Apply({record_}, Now());
    updated.guard.Update(kService, kernel::upstream_id("u"), VersionOf(index),
                         Now().time_since_epoch(), Now());
    if (!HasLeader() || Now() - updated.reported_at < kSamplePeriod) return;
    updated.reported_at = Now();
    rollout_sample sample;
    sample.daemon = endpoints_[index];
    sample.service = kService;
    sample.revision = record_.revision;
    sample.version = VersionOf(index);
    sample.open = updated.guard.Admits(kService, sample.version, Now());
    sample.slots = sample.open ? 12 : 0;
    sample.queued = sample.open && trouble_.overloaded ? 20 : 0;
    for (const request& run : runs_) sample.in_progress += run.daemon == index ? 1 : 0;
    sample.counted_since = updated.guard.counters().started_at().time_since_epoch();
    sample.routes = updated.guard.counters().routes();
    tracker_->Receive(sample, Now());
  }

  void SendRequest() {
    daemon& entry = *daemons_[random_() % daemons_.size()];
    if (entry.table.Find(kService) == nullptr) return;
    const bool is_target = entry.table.Select(kService) == version_group::kTarget;
    const std::size_t index = random_() % kUpstreams + (is_target ? kUpstreams : 0);
    if (!IsUp(index) || !daemons_[index]->guard.Admits(kService, VersionOf(index), Now())) return;
    if (result_.seconds > 0 && !is_target) ++result_.open;
    if (is_target) ++result_.target_requests;
    const auto run_time = kernel::microseconds(
        static_cast<std::int64_t>(270'000 * std::lognormal_distribution<double>(0, 0.4)(random_)));
    runs_.push_back({index, run_time, Now() + run_time});
  }

  void Evaluate() {
    const auto step = tracker_->Evaluate(endpoints_, Now().time_since_epoch(), Now()).step;
    if (!step) return;
    record_.share = step->share;
    record_.state = step->state;
    record_.revision = Next(record_.revision);
    if (IsRunning(record_)) {
      tracker_->OnStep(record_, Now());
      return;
    }
    result_.state = record_.state;
    result_.seconds = Seconds();
  }

  trouble trouble_;
  std::mt19937_64 random_;
  kernel::manual_clock clock_;
  rollout_record record_;
  std::optional<rollout_tracker> tracker_;
  std::vector<std::unique_ptr<daemon>> daemons_;
  std::vector<kernel::endpoint> endpoints_;
  std::vector<request> runs_;
  bool had_leader_ = true;
  int ticks_ = 0;
  result result_;
};

void ExpectCompleted(const trouble& simulated) {
  const result ended = group_simulation(simulated).Run();
  EXPECT_EQ(ended.state, rollout_state::kCompleted) << "cut from " << simulated.cut_from;
  EXPECT_LE(ended.seconds, kLimit) << "cut from " << simulated.cut_from;
  EXPECT_EQ(ended.in_progress, 0) << "cut from " << simulated.cut_from;
  EXPECT_EQ(ended.open, 0) << "cut from " << simulated.cut_from;
}

// Guards against a rollout that ends after its time limit, or is rolled back, because the leader
// changes at any time, also when the service is overloaded or a daemon dies with the leader.
TEST(RolloutTracker, CompletesInTimeWhenTheLeaderChanges) {
  for (double cut_from = 0.5; cut_from < kLimit - 2; cut_from += 0.5) {
    trouble simulated;
    simulated.cut_from = cut_from;
    ExpectCompleted(simulated);
    simulated.overloaded = true;
    ExpectCompleted(simulated);
    simulated.overloaded = false;
    simulated.dead_from = cut_from;
    if (cut_from <= 11.5) ExpectCompleted(simulated);
  }
}

// Guards against a rollout that ends after its time limit because no part of the group had a
// majority for 6 s. A cut in the middle of the duration leaves too little time after the first
// step.
TEST(RolloutTracker, CompletesInTimeAfterTheMajorityWasLost) {
  for (const double cut_from : {0.5, 2.0, 4.0, 5.0, 6.0, 6.5, 12.5}) {
    trouble simulated;
    simulated.cut_from = cut_from;
    simulated.cut_for = 6;
    ExpectCompleted(simulated);
    if (cut_from > 6) continue;
    simulated.overloaded = true;
    ExpectCompleted(simulated);
  }
}

// Guards against a completion while a paused daemon may still use its old upstream, and against one
// that it opens again when it continues.
TEST(RolloutTracker, KeepsAnOldUpstreamClosedWhoseDaemonWasPaused) {
  for (double paused_from = 1; paused_from < 12; paused_from += 0.5) {
    trouble simulated;
    simulated.paused_from = paused_from;
    simulated.paused_for = 14 - paused_from;
    ExpectCompleted(simulated);
  }
}

// Guards against a leader that has just been elected and makes a step before it has the evidence.
TEST(RolloutTracker, RollsBackABadVersionAfterTheLeaderChanged) {
  for (double cut_from = 0.5; cut_from < 12; cut_from += 0.5) {
    trouble simulated;
    simulated.cut_from = cut_from;
    simulated.failing = 0.2;
    const result ended = group_simulation(simulated).Run();
    EXPECT_EQ(ended.state, rollout_state::kRolledBack) << cut_from;
    EXPECT_LE(ended.target_requests, kLimit * 1'000 / 10 + 50) << cut_from;
  }
}

// Guards against a leader that has just been elected and decides on the reports of a few daemons: a
// step without the evidence of the others, or a rollback because no upstream seems to be ready.
TEST(RolloutTracker, WaitsForReportsAfterAnElection) {
  rollout_record record;
  record.service = kService;
  record.target = kNew;
  record.share = kCanaryShare;
  record.duration = kDuration;
  kernel::manual_clock clock;
  rollout_tracker tracker(record, clock.Now());
  const auto evaluate = [&](std::chrono::seconds since_order) {
    return tracker.Evaluate({}, since_order, clock.Now()).step;
  };
  clock.Advance(std::chrono::seconds(10));
  tracker.BeginLeading(clock.Now());
  EXPECT_FALSE(evaluate(std::chrono::seconds(17)));
  rollout_sample sample;
  sample.service = kService;
  sample.version = kNew;
  sample.slots = 12;
  tracker.Receive(sample, clock.Now());
  EXPECT_FALSE(evaluate(std::chrono::seconds(10)));
  clock.Advance(kCollectTime);
  ASSERT_TRUE(evaluate(std::chrono::seconds(10)));
  EXPECT_EQ(evaluate(std::chrono::seconds(10))->share, kernel::traffic_share(250));
  EXPECT_EQ(evaluate(std::chrono::seconds(12))->share, kernel::kAllTraffic);
}

// Guards against a leader elected during the last step that has no responses of the old version to
// compare those of the target with.
TEST(RolloutTracker, KnowsTheReleasedVersionAtTheLastStep) {
  rollout_table table(1);
  upstream_guard guard(table);
  rollout_record record;
  record.service = kService;
  record.target = kNew;
  const kernel::route_name route("r");
  const auto responses = [&](kernel::traffic_share share, const kernel::software_version& version) {
    record.share = share;
    record.revision = Next(record.revision);
    record.started = kernel::rollout_revision(1);
    table.Apply({record}, {});
    guard.Update(kService, kernel::upstream_id("u"), version, {}, {});
    const auto found = guard.counters().routes().find(route);
    const std::int64_t counted =
        found == guard.counters().routes().end() ? 0 : found->second.responses;
    guard.Record(kService, route, run_end::kSuccess, {}, false, {});
    return counted;
  };
  EXPECT_EQ(responses(kCanaryShare, kOld), 0);
  EXPECT_EQ(responses(kernel::traffic_share(500), kOld), 0);
  EXPECT_EQ(responses(kernel::kAllTraffic, kOld), 1);
  record.share = kCanaryShare;
  EXPECT_EQ(responses(kernel::traffic_share(500), kNew), 0);
  EXPECT_EQ(responses(kernel::kAllTraffic, kNew), 0);
}

}  // namespace
}  // namespace cornelweir::rollout
