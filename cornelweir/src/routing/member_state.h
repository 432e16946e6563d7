#ifndef CORNELWEIR_SRC_ROUTING_MEMBER_STATE_H_
#define CORNELWEIR_SRC_ROUTING_MEMBER_STATE_H_

#include <array>
#include <cstdint>
#include <optional>

#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/quantity.h"
#include "cornelweir/src/routing/finish_kind.h"
#include "cornelweir/src/routing/upstream_candidate.h"

namespace cornelweir::routing::internal {

// The announced data of one upstream and what this daemon observed of it.
class member_state {
 public:
  enum class health : std::uint8_t { kHealthy, kEjected, kProbing };

  // Stores announced data. Observations are discarded if the incarnation is a new one. The revision
  // identifies the update that the announcement belongs to.
  void Announce(const upstream_candidate& candidate, std::uint64_t revision, bool slow_start,
                kernel::time_point now);
  // Withdraws the announcement if it is of an earlier revision. Requests may still be in progress.
  void WithdrawIfStale(std::uint64_t revision);

  void OnStart();
  void OnFinish(finish_kind kind, kernel::microseconds latency, kernel::time_point now);

  void Eject(kernel::time_point now);
  // Ends an ejection because the upstream has recovered.
  void MarkHealthy(kernel::time_point now);
  // Ends an ejection although the upstream may not have recovered. The upstream counts as failing
  // until a request succeeds.
  void Readmit(kernel::time_point now);

  // Whether the upstream may receive a request, apart from exclusions. Begins probing if the time
  // of its ejection has passed.
  bool IsUsable(kernel::time_point now);
  // Whether no backoff after a refused connection to the upstream's daemon is in effect.
  bool IsReachable(kernel::time_point now) const { return now >= unreachable_until_; }
  // Whether too many of the recent requests to the upstream failed.
  bool IsFailing(kernel::time_point now) const;
  // Whether requests should go to other failure domains instead.
  bool IsLoaded(kernel::time_point now) const;

  // The slots of the upstream, reduced during slow start.
  double EffectiveSlots(kernel::time_point now) const;
  // The relative cost of a request to this upstream, for comparison with another one. Exclude the
  // latency if that of the other upstream is unknown.
  double Cost(kernel::time_point now, bool with_latency) const;
  bool HasLatency(kernel::time_point now) const;

  const upstream_candidate& candidate() const { return candidate_; }
  bool announced() const { return announced_; }
  bool counts_in_subset() const { return announced_ && !candidate_.draining; }
  std::int64_t in_progress() const { return in_progress_; }
  health state() const { return state_; }
  kernel::time_point ejected_until() const { return ejected_until_; }

 private:
  // The moving average of refused and failed requests, 0 to 1, decayed to this time.
  double ErrorRate(kernel::time_point now) const;
  void UpdateErrorRate(bool failed, kernel::time_point now);
  // Counts a request in the current half of the failure window.
  void CountInWindow(bool failed, kernel::time_point now);

  upstream_candidate candidate_;
  bool announced_ = false;
  std::uint64_t revision_ = 0;
  std::int64_t in_progress_ = 0;
  // Requests in progress that were started on an earlier incarnation. As many ends of requests are
  // not counted as observations.
  std::int64_t stale_in_progress_ = 0;

  std::optional<kernel::time_point> slow_start_began_at_;
  // Moving average of the response times, in microseconds.
  double mean_latency_us_ = 0;
  std::optional<kernel::time_point> latency_updated_at_;
  double error_rate_ = 0;
  kernel::time_point error_rate_updated_at_{};

  kernel::time_point unreachable_until_{};
  kernel::microseconds unreachable_backoff_{};

  int consecutive_failures_ = 0;
  // Requests and failures in the current and the previous half of the failure window, indexed by
  // the lowest bit of the number of the half.
  std::int64_t current_half_window_ = 0;
  std::array<std::int64_t, 2> requests_{};
  std::array<std::int64_t, 2> failures_{};

  health state_ = health::kHealthy;
  kernel::time_point ejected_until_{};
  kernel::time_point healthy_since_{};
  int ejections_ = 0;
  int successful_probes_ = 0;
};

}  // namespace cornelweir::routing::internal

#endif  // CORNELWEIR_SRC_ROUTING_MEMBER_STATE_H_
