// Tests the choice of an upstream: single choices, and the shares that many daemons give to fake
// upstreams of different speeds.

#include <gtest/gtest.h>

#include <cmath>
#include <deque>
#include <map>
#include <vector>

#include "cornelweir/admission.h"
#include "cornelweir/kernel.h"
#include "cornelweir/routing.h"

namespace cornelweir::routing {
namespace {

using std::chrono::milliseconds;

peer_candidate Candidate(std::int64_t reported_requests, int run_ms) {
  peer_candidate candidate;
  candidate.slots = 10;
  candidate.reported_requests = reported_requests;
  candidate.run_time = milliseconds(run_ms);
  return candidate;
}

std::size_t Choose(std::vector<peer_candidate> candidates,
                   const domain_preference& preference = {}) {
  return ChoosePeer(candidates, preference).value_or(candidates.size());
}

// Guards against requests queued at a full upstream while another one has free slots, even if the
// full one is behind its share.
TEST(PeerChoice, PrefersFreeSlotsThenSpeedThenTheOwnDomain) {
  std::vector<peer_candidate> full_and_free{Candidate(25, 50), Candidate(5, 50)};
  full_and_free[0].credit = 1;
  EXPECT_EQ(Choose(full_and_free), 1U);
  full_and_free[0].report_age = std::chrono::seconds(3);
  EXPECT_EQ(Choose(full_and_free), 0U) << "the report is old";
  EXPECT_EQ(Choose({Candidate(5, 90), Candidate(5, 50)}), 1U);
  std::vector<peer_candidate> other_and_own_domain{Candidate(5, 40), Candidate(5, 50)};
  other_and_own_domain[0].own_domain = false;
  EXPECT_EQ(Choose(other_and_own_domain, {0.5, 1}), 1U);
  EXPECT_EQ(Choose({}), 0U) << "there are no candidates";
}

// Guards against an upstream that fails fast and therefore attracts all requests.
TEST(PeerChoice, AddsFailuresToTheCost) {
  std::vector<peer_candidate> candidates{Candidate(0, 10), Candidate(5, 50)};
  candidates[0].failure_rate = 0.9;
  EXPECT_EQ(Choose(candidates), 1U);
}

// Guards against a new upstream that receives no requests because its run time is unknown.
TEST(PeerChoice, AssumesTheMeanRunTimeForANewUpstream) {
  EXPECT_EQ(Choose({Candidate(8, 60), Candidate(8, 90), Candidate(0, 0)}), 0U);
  EXPECT_EQ(Choose({Candidate(8, 80), Candidate(8, 50), Candidate(0, 0)}), 1U);
  EXPECT_EQ(Choose({Candidate(8, 90), Candidate(25, 50), Candidate(0, 0)}), 2U);
}

// Guards against a stall that is known and ignored, and one that is long over and avoided.
TEST(PeerChoice, ForgetsAStallAsItsReportAges) {
  std::vector<peer_candidate> candidates{Candidate(0, 50), Candidate(0, 60)};
  candidates[0].slowdown_percent = 250;
  EXPECT_EQ(Choose(candidates), 1U);
  candidates[0].report_age = std::chrono::seconds(2);
  EXPECT_EQ(Choose(candidates), 0U);
}

// Guards against upstreams of a domain with few of them that get all requests of its daemons.
TEST(PeerChoice, LeavesTheOwnDomainIfItsCapacityIsShort) {
  std::vector<peer_candidate> candidates(11, Candidate(0, 50));
  for (std::size_t i = 2; i < candidates.size(); ++i) candidates[i].own_domain = false;
  int in_own_domain = 0;
  for (int i = 0; i < 1'100; ++i) in_own_domain += *ChoosePeer(candidates, {0.25, 1}) < 2 ? 1 : 0;
  EXPECT_NEAR(in_own_domain, 1'100 * (2.0 / 11) / 0.25, 10);
  EXPECT_EQ(OwnDomainShare(0.3, 0.25), 1);
}

// Upstreams with six slots of different speeds, some of which stall, and daemons that learn of them
// only from the responses to their own requests.
class fleet_simulation {
 public:
  static constexpr std::size_t kUpstreams = 12;
  static constexpr std::size_t kDaemons = 40;

  fleet_simulation() : credits_(kDaemons, std::vector<double>(kUpstreams)) {
    for (auto& of_daemon : credits_) {
      for (double& credit : of_daemon) credit = Uniform();
    }
    known_.assign(kDaemons, std::vector<report>(kUpstreams));
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      upstreams_[i].speed = 0.55 + (1.6 - 0.55) * static_cast<double>(i) / (kUpstreams - 1);
    }
  }

  void Run(milliseconds duration, double requests_per_second) {
    const kernel::time_point end = clock_.Now() + duration;
    for (; clock_.Now() < end; clock_.Advance(milliseconds(1))) {
      if (clock_.Now() >= stalls_change_at_) ChangeStalls();
      for (std::size_t i = 0; i < kUpstreams; ++i) EndRuns(i);
      if (Uniform() < requests_per_second / 1'000) Send(UniformBelow(random_, kDaemons));
    }
  }

  void ResetCounts() {
    for (auto& [index, upstream] : upstreams_) upstream.received = upstream.speed_time = 0;
  }

  // For each upstream, its requests relative to its measured speed; 1 is the mean.
  std::vector<double> RelativeShares() {
    double received = 0;
    double speed = 0;
    for (const auto& [index, upstream] : upstreams_) {
      received += upstream.received;
      speed += upstream.speed_time;
    }
    std::vector<double> shares;
    for (const auto& [index, upstream] : upstreams_) {
      shares.push_back(upstream.received / received / (upstream.speed_time / speed));
    }
    return shares;
  }

 private:
  static constexpr std::int64_t kSlots = 6;

  struct queued_run {
    std::size_t daemon = 0;
    kernel::microseconds run_time{};
  };
  struct upstream {
    double speed = 1;
    bool stalled = false;
    admission::upstream_speed measured;
    std::multimap<kernel::time_point, queued_run> running;
    std::deque<std::size_t> queue;
    double received = 0;
    // Integral of the present speed over time.
    double speed_time = 0;
  };
  struct report {
    peer_candidate candidate;
    kernel::time_point at;
  };

  double Uniform() { return static_cast<double>(random_.NextU64() >> 11U) * 0x1p-53; }
  static double SpeedNow(const upstream& of) { return of.stalled ? of.speed / 2.5 : of.speed; }

  void ChangeStalls() {
    stalls_change_at_ = clock_.Now() + milliseconds(600);
    for (auto& [index, upstream] : upstreams_) upstream.stalled = Uniform() < 0.15;
  }

  void Send(std::size_t daemon) {
    std::vector<peer_candidate> candidates;
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      candidates.push_back(known_[daemon][i].candidate);
      candidates.back().report_age = clock_.Now() - known_[daemon][i].at;
      candidates.back().slots = kSlots;
      candidates.back().credit = credits_[daemon][i];
    }
    const std::size_t chosen = *ChoosePeer(candidates, {});
    for (std::size_t i = 0; i < kUpstreams; ++i) credits_[daemon][i] = candidates[i].credit;
    ++known_[daemon][chosen].candidate.sent_since_report;
    ++upstreams_[chosen].received;
    upstreams_[chosen].queue.push_back(daemon);
    StartRuns(upstreams_[chosen]);
  }

  void StartRuns(upstream& at) {
    while (!at.queue.empty() && at.running.size() < kSlots) {
      const auto run_time =
          kernel::microseconds(std::llround(110'000 * (0.5 + Uniform()) / SpeedNow(at)));
      at.running.emplace(clock_.Now() + run_time, queued_run{at.queue.front(), run_time});
      at.queue.pop_front();
    }
  }

  void EndRuns(std::size_t index) {
    upstream& at = upstreams_[index];
    at.speed_time += SpeedNow(at);
    while (!at.running.empty() && at.running.begin()->first <= clock_.Now()) {
      const queued_run ended = at.running.begin()->second;
      at.running.erase(at.running.begin());
      at.measured.OnRun(kernel::route_name("r"), ended.run_time);
      StartRuns(at);
      report& learnt = known_[ended.daemon][index];
      learnt.at = clock_.Now();
      learnt.candidate = {};
      learnt.candidate.reported_requests =
          static_cast<std::int64_t>(at.running.size() + at.queue.size());
      learnt.candidate.run_time = at.measured.usual_run_time();
      learnt.candidate.slowdown_percent = at.measured.slowdown_percent();
    }
  }

  kernel::manual_clock clock_;
  kernel::seeded_random random_{5};
  std::map<std::size_t, upstream> upstreams_;
  std::vector<std::vector<double>> credits_;
  std::vector<std::vector<report>> known_;
  kernel::time_point stalls_change_at_;
};

// Guards against large bodies for hosts whose links are busy, and against a host that is avoided
// for ever because of a backlog that it had once.
TEST(PeerChoice, CountsTheTimeOfALargeBodyOnTheLink) {
  const link_load idle{0, 750'000, {}, 0};
  link_load busy{600'000, 750'000, {}, 150'000};
  EXPECT_EQ(ExpectedTransferTime({}, 75'000), kernel::microseconds::zero()) << "rate unknown";
  EXPECT_EQ(ExpectedTransferTime(idle, 75'000), milliseconds(100));
  EXPECT_EQ(ExpectedTransferTime(busy, 75'000), milliseconds(1'100));
  std::vector<peer_candidate> candidates{Candidate(3, 50), Candidate(3, 50)};
  candidates[0].transfer_time = ExpectedTransferTime(busy, 75'000);
  candidates[1].transfer_time = ExpectedTransferTime(idle, 75'000);
  EXPECT_EQ(Choose(candidates), 1U);
  busy.report_age = std::chrono::seconds(10);
  EXPECT_LT(ExpectedTransferTime(busy, 75'000), milliseconds(310));
}

// Guards against large bodies that cross to another failure domain because of one other body in
// front of them, and against ones that stay behind several.
TEST(PeerChoice, KeepsLargeBodiesInTheOwnDomainBehindOneOther) {
  const link_load idle{0, 750'000, {}, 0};
  for (const auto& [bodies_ahead, chosen] : {std::pair{1, 0U}, std::pair{4, 1U}}) {
    const link_load busy{std::int64_t{75'000} * bodies_ahead, 750'000, {}, 0};
    std::vector<peer_candidate> candidates{Candidate(3, 140), Candidate(3, 140)};
    candidates[1].own_domain = false;
    candidates[0].transfer_time = ExpectedTransferTime(busy, 75'000);
    candidates[1].transfer_time = ExpectedTransferTime(idle, 75'000);
    EXPECT_EQ(Choose(candidates, {0.5, kLargeBodyDomainFactor}), chosen) << bodies_ahead;
  }
}

// Guards against an upstream that gets more than its share: the busiest got 1.7 times the mean.
TEST(PeerChoice, RequestsFollowTheSpeedOfTheUpstreams) {
  fleet_simulation fleet;
  fleet.Run(milliseconds(60'000), 400);
  fleet.ResetCounts();
  fleet.Run(milliseconds(120'000), 400);
  for (const double share : fleet.RelativeShares()) {
    EXPECT_LT(share, 1.1);
    EXPECT_GT(share, 1 / 1.1);
  }
}

// A service whose upstreams are 2.2 times as fast as the others in four of eleven cases, at one
// daemon.
class uneven_service {
 public:
  static constexpr std::size_t kFast = 4;
  // The part of the capacity that the fast upstreams have.
  static constexpr double kFastCapacity = 0.562;

  uneven_service() : candidates_(kFast, Candidate(0, 70)) {
    candidates_.resize(11, Candidate(0, 157));
    for (peer_candidate& candidate : candidates_) candidate.route_run_time = candidate.run_time;
  }

  bool SendToFast(kernel::microseconds objective_left) {
    return *ChoosePeer(candidates_, {}, objective_left) < kFast;
  }

 private:
  std::vector<peer_candidate> candidates_;
};

// Guards against requests that miss their objectives at slow upstreams, while requests that could
// wait take the fast ones.
TEST(PeerChoice, GivesFastUpstreamsToRequestsWithLittleTime) {
  uneven_service service;
  constexpr int kRequestsOfEach = 2'000;
  int urgent_at_fast = 0;
  int others_at_fast = 0;
  for (int i = 0; i < kRequestsOfEach; ++i) {
    urgent_at_fast += service.SendToFast(milliseconds(250)) ? 1 : 0;
    others_at_fast += service.SendToFast(milliseconds(2'000)) ? 1 : 0;
  }
  EXPECT_GT(urgent_at_fast, kRequestsOfEach * 0.97);
  EXPECT_NEAR(urgent_at_fast + others_at_fast, 2 * kRequestsOfEach * uneven_service::kFastCapacity,
              2 * kRequestsOfEach * 0.02);
}

// Guards against fast upstreams that are flooded because no request can wait.
TEST(PeerChoice, KeepsTheSharesIfAllRequestsHaveLittleTime) {
  uneven_service service;
  constexpr int kRequests = 4'000;
  int at_fast = 0;
  for (int i = 0; i < kRequests; ++i) at_fast += service.SendToFast(milliseconds(250)) ? 1 : 0;
  EXPECT_NEAR(at_fast, kRequests * uneven_service::kFastCapacity, kRequests * 0.02);
}

// Guards against requests that cross to a faster upstream of another failure domain, whose share is
// needed by its own requests.
TEST(PeerChoice, KeepsRequestsWithLittleTimeInTheOwnDomain) {
  std::vector<peer_candidate> candidates{Candidate(0, 157), Candidate(0, 157), Candidate(0, 70)};
  for (peer_candidate& candidate : candidates) candidate.route_run_time = candidate.run_time;
  candidates[2].own_domain = false;
  candidates[2].credit = 1;
  // The own domain has as large a part of the capacity as of the daemons.
  constexpr double kDaemonShare = 0.4;
  for (int i = 0; i < 100; ++i) {
    EXPECT_LT(*ChoosePeer(candidates, {kDaemonShare, 1}, milliseconds(250)), 2U);
  }
  for (std::size_t own : {0, 1}) candidates[own].reported_requests = 25;
  EXPECT_EQ(ChoosePeer(candidates, {kDaemonShare, 1}, milliseconds(250)), 2U) << "they are full";
}

// Guards against a request that is sent to an upstream that stalls, though others end it in time.
TEST(PeerChoice, AvoidsStallsThatWouldMissTheObjective) {
  std::vector<peer_candidate> candidates{Candidate(0, 110), Candidate(0, 110)};
  for (peer_candidate& candidate : candidates) candidate.route_run_time = milliseconds(110);
  candidates[0].credit = 2;
  candidates[0].slowdown_percent = 250;
  EXPECT_EQ(ChoosePeer(candidates, {}, milliseconds(250)), 1U);
  EXPECT_EQ(ChoosePeer(candidates, {}, milliseconds(2'000)), 0U);
}

// Guards against a probability that is not monotonic or leaves 0 to 1.
TEST(PeerChoice, EstimatesHowLikelyARequestIsLate) {
  EXPECT_EQ(LateProbability(milliseconds(100), kNoObjective), 0);
  EXPECT_EQ(LateProbability({}, milliseconds(1)), 0) << "run time unknown";
  EXPECT_EQ(LateProbability(milliseconds(100), milliseconds(-1)), 1);
  EXPECT_NEAR(LateProbability(milliseconds(100), milliseconds(100)), 0.5, 1e-9);
  EXPECT_LT(LateProbability(milliseconds(100), milliseconds(300)), 0.02);
  EXPECT_GT(LateProbability(milliseconds(100), milliseconds(50)), 0.9);
}

}  // namespace
}  // namespace cornelweir::routing
