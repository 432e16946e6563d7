// Tests that large responses behind a link that can't carry all of them are not served much less
// often than other requests, in simulated time.

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <map>
#include <numbers>
#include <vector>

#include "cornelweir/admission.h"
#include "cornelweir/kernel.h"

namespace cornelweir::admission {
namespace {

using std::chrono::milliseconds;

// Safe requests with large responses at one upstream.
struct response_load {
  double per_second = 10;
  double mean_bytes = 90'000;
  // Standard deviation of the logarithm of the size.
  double deviation = 0.6;
  milliseconds run_time{180};
  milliseconds objective{1'200};
  milliseconds timeout{5'000};
};

struct response_outcome {
  int asked = 0;
  int run = 0;
  int served = 0;
  std::size_t sent_bytes = 0;
  // Those of responses that were given up.
  std::size_t wasted_bytes = 0;
  // Of the responses of at least twice the mean size.
  int long_asked = 0;
  int long_served = 0;

  double Share() const { return static_cast<double>(served) / asked; }
};

// An upstream with more slots than it needs, whose responses share a link of a fixed rate.
class link_simulation {
 public:
  link_simulation(const response_load& load, double bytes_per_second)
      : load_(load), bytes_per_second_(bytes_per_second) {
    queue_.SetSlots(kSlots, clock_.Now());
  }

  response_outcome Run(kernel::microseconds duration) {
    for (; clock_.Now() < kernel::time_point(duration); clock_.Advance(kStep)) {
      EndRuns();
      if (Uniform() < load_.per_second * kStepSeconds) Arrive();
      Plan();
      SendBytes();
    }
    return outcome_;
  }

 private:
  static constexpr std::int64_t kSlots = 6;
  static constexpr kernel::microseconds kStep = milliseconds(1);
  static constexpr double kStepSeconds = 1e-3;

  struct response {
    kernel::time_point asked_at;
    std::size_t bytes = 0;
    std::size_t sent = 0;
    bool is_long = false;
  };

  double Uniform() { return static_cast<double>(random_.NextU64() >> 11U) * 0x1p-53; }

  double Normal() {
    return std::sqrt(-2 * std::log(1 - Uniform())) * std::cos(2 * std::numbers::pi * Uniform());
  }

  kernel::microseconds TimeFor(std::size_t bytes) const {
    return kernel::microseconds(
        static_cast<std::int64_t>(1e6 * static_cast<double>(bytes) / bytes_per_second_));
  }

  void Arrive() {
    const kernel::time_point now = clock_.Now();
    response added;
    added.asked_at = now;
    added.bytes = static_cast<std::size_t>(
        load_.mean_bytes *
        std::exp(load_.deviation * Normal() - load_.deviation * load_.deviation / 2));
    added.is_long = static_cast<double>(added.bytes) >= 2 * load_.mean_bytes;
    ++outcome_.asked;
    outcome_.long_asked += added.is_long ? 1 : 0;
    slot_request request;
    request.id = ticket(++last_id_);
    request.objective = now + load_.objective;
    request.deadline = now + load_.timeout;
    request.run_time = load_.run_time;
    request.route = kernel::route_name("large");
    const std::size_t ahead = waiting_.unsent_bytes() + expected_bytes_;
    if (TimeFor(ahead) > load_.run_time) {
      request.transfer_time = TimeFor(ahead + MeanBytes()) - load_.run_time;
    }
    if (waiting_.MayExceedNetwork(now)) {
      request.least_transfer_time = std::min(request.transfer_time, TimeFor(MeanBytes()));
    }
    responses_[transfer_id(last_id_)] = added;
    const slot_decision decision = queue_.Submit(request, now);
    for (const slot_refusal& refused : decision.refused) {
      responses_.erase(transfer_id(refused.id.value()));
    }
    if (decision.outcome == slot_decision::kind::kRun) Start(request.id);
  }

  void Start(ticket id) {
    ++outcome_.run;
    expected_bytes_ += MeanBytes();
    ends_.emplace(clock_.Now() + load_.run_time, transfer_id(id.value()));
  }

  std::size_t MeanBytes() const { return static_cast<std::size_t>(load_.mean_bytes); }

  void EndRuns() {
    const kernel::time_point now = clock_.Now();
    for (; !ends_.empty() && ends_.begin()->first <= now; ends_.erase(ends_.begin())) {
      const transfer_id id = ends_.begin()->second;
      const response& ended = responses_.at(id);
      expected_bytes_ -= MeanBytes();
      for (const ticket next : queue_.Release(ticket(id.value()), load_.run_time, now)) Start(next);
      waiting_.Add({id, ended.bytes, 0, ended.asked_at + load_.objective,
                    ended.asked_at + load_.timeout, true});
    }
    queue_.Expire(now);
  }

  void Plan() {
    for (const transfer_id id : waiting_.Plan(bytes_per_second_, clock_.Now())) {
      outcome_.wasted_bytes += responses_.at(id).sent;
      responses_.erase(id);
    }
  }

  void SendBytes() {
    for (room_ += bytes_per_second_ * kStepSeconds; room_ >= kPieceBytes; room_ -= kPieceBytes) {
      const auto next = waiting_.Next([](transfer_id) { return true; });
      if (!next) {
        room_ = 0;
        return;
      }
      response& sent = responses_.at(*next);
      const std::size_t bytes =
          std::min(static_cast<std::size_t>(kPieceBytes), sent.bytes - sent.sent);
      sent.sent += bytes;
      outcome_.sent_bytes += bytes;
      waiting_.OnSent(*next, bytes, clock_.Now());
      if (sent.sent < sent.bytes) continue;
      ++outcome_.served;
      outcome_.long_served += sent.is_long ? 1 : 0;
      responses_.erase(*next);
    }
  }

  static constexpr double kPieceBytes = 8192;

  response_load load_;
  double bytes_per_second_;
  kernel::manual_clock clock_;
  kernel::seeded_random random_{14};
  slot_queue queue_;
  outbound_responses waiting_;
  response_outcome outcome_;
  std::map<transfer_id, response> responses_;
  std::multimap<kernel::time_point, transfer_id> ends_;
  // Of the requests that run.
  std::size_t expected_bytes_ = 0;
  // Bytes that the link could have carried since the last piece.
  double room_ = 0;
  std::uint64_t last_id_ = 0;
};

// The part of all requests of the mesh that is served while its links are short.
constexpr double kServedOfAll = 0.9;

response_outcome RunOnLink(double part_of_bytes) {
  const response_load load;
  const double link = part_of_bytes * load.per_second * load.mean_bytes;
  return link_simulation(load, link).Run(milliseconds(120'000));
}

// Guards against a link on which the responses are sent as they come, so that it serves as many
// callers as bytes of the mean size fit: 0.18 of them here, where 0.9 of all requests are served.
// The users' target is that no kind of request is served less than a quarter as often as all.
TEST(StarvedResponse, LargeResponsesAreNotStarvedBehindASlowLink) {
  const response_outcome outcome = RunOnLink(0.18);
  EXPECT_GE(outcome.Share(), 0.25 * kServedOfAll)
      << outcome.served << " of " << outcome.asked << ", " << outcome.run << " were run";
}

// Guards against long responses that are never sent because there are always shorter ones.
TEST(StarvedResponse, SomeLongResponsesAreServed) {
  const response_outcome outcome = RunOnLink(0.18);
  EXPECT_GT(outcome.long_served, 0) << "of " << outcome.long_asked;
}

// Guards against an upstream that works mostly in vain: no more may run than one response for each
// that is sent, and twice as many that are dropped.
TEST(StarvedResponse, RunsInVainAreBounded) {
  const response_outcome outcome = RunOnLink(0.18);
  EXPECT_LE(outcome.run, 3 * outcome.served);
  EXPECT_LE(outcome.wasted_bytes, outcome.sent_bytes / 50);
}

// Guards against responses that are dropped although the link can carry all.
TEST(StarvedResponse, NothingIsDroppedOnALinkWithRoom) {
  const response_outcome outcome = RunOnLink(1.5);
  EXPECT_GE(outcome.Share(), 0.95);
  EXPECT_LE(outcome.run - outcome.served, outcome.asked / 100);
}

}  // namespace
}  // namespace cornelweir::admission
