#ifndef CORNELWEIR_SRC_ROUTING_MEMBER_STATE_H_
#define CORNELWEIR_SRC_ROUTING_MEMBER_STATE_H_

#include <cstdint>
#include <optional>

#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/quantity.h"
#include "cornelweir/src/routing/finish_kind.h"
#include "cornelweir/src/routing/upstream_candidate.h"

namespace cornelweir::routing::internal {

// What one daemon observed of one upstream.
class member_state {
 public:
  enum class health : std::uint8_t { kTrusted, kEjected, kProbed };

  // Takes over announced data. A new incarnation loses what was observed of its predecessor.
  void Announce(const upstream_candidate& candidate, bool slow_start, kernel::time_point now);
  // The upstream is no longer announced; requests may still be in progress.
  void Withdraw() { announced_ = false; }

  void OnStart();
  void OnFinish(finish_kind kind, kernel::microseconds latency, kernel::time_point now);

  void Eject(kernel::time_point now);
  void Trust(kernel::time_point now);

  // Whether the upstream may get a request, apart from exclusions. Begins to probe an ejected
  // upstream whose time has passed.
  bool IsUsable(kernel::time_point now);
  // Whether the daemon's own observations say that requests to the upstream fail.
  bool IsFailing(kernel::time_point now) const;
  // Whether requests should go to other failure domains rather than here.
  bool IsLoaded(kernel::time_point now) const;

  // The slots that count at this time: fewer during slow start.
  double EffectiveSlots(kernel::time_point now) const;
  // How much a request here costs compared with others. The latency is left out if the other one's
  // is unknown.
  double Cost(kernel::time_point now, bool with_latency) const;
  bool HasLatency(kernel::time_point now) const;

  const upstream_candidate& candidate() const { return candidate_; }
  bool announced() const { return announced_; }
  bool counts_in_subset() const { return announced_ && !candidate_.draining; }
  std::int64_t in_progress() const { return in_progress_; }
  health state() const { return state_; }
  kernel::time_point ejected_until() const { return ejected_until_; }

 private:
  double Pressure(kernel::time_point now) const;
  void Observe(bool bad, kernel::time_point now);
  void CountForRate(bool failed, kernel::time_point now);

  upstream_candidate candidate_;
  bool announced_ = false;
  std::int64_t in_progress_ = 0;
  // Requests in progress that were started on an earlier incarnation. As many finishes are left
  // out of the observations.
  std::int64_t in_progress_before_ = 0;

  std::optional<kernel::time_point> slow_start_;
  double latency_ = 0;
  std::optional<kernel::time_point> latency_at_;
  double pressure_ = 0;
  kernel::time_point pressure_at_{};

  int failures_in_a_row_ = 0;
  // Requests and failures in the current and the previous half of the failure window.
  std::int64_t half_ = 0;
  std::int64_t requests_[2] = {0, 0};
  std::int64_t failures_[2] = {0, 0};

  health state_ = health::kTrusted;
  kernel::time_point ejected_until_{};
  kernel::time_point trusted_since_{};
  int ejections_ = 0;
  int probes_succeeded_ = 0;
};

}  // namespace cornelweir::routing::internal

#endif  // CORNELWEIR_SRC_ROUTING_MEMBER_STATE_H_
