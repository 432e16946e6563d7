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

// What one daemon observed of one upstream.
class member_state {
 public:
  enum class health : std::uint8_t { kTrusted, kEjected, kProbed };

  // Takes over announced data. A new incarnation loses what was observed of its predecessor.
  // The revision tells the current announcement from earlier ones.
  void Announce(const upstream_candidate& candidate, std::uint64_t revision, bool slow_start,
                kernel::time_point now);
  // Withdraws an announcement of an earlier revision; requests may still be in progress.
  void WithdrawUnless(std::uint64_t revision);

  void OnStart();
  void OnFinish(finish_kind kind, kernel::microseconds latency, kernel::time_point now);

  void Eject(kernel::time_point now);
  // Ends an ejection because the upstream recovered.
  void Trust(kernel::time_point now);
  // Ends an ejection although the upstream may not have recovered. It counts as failing until a
  // request succeeds.
  void Readmit(kernel::time_point now);

  // Whether the upstream may get a request, apart from exclusions. Begins to probe an ejected
  // upstream whose time has passed.
  bool IsUsable(kernel::time_point now);
  // Whether connections to the upstream's daemon can be expected to open.
  bool IsReachable(kernel::time_point now) const { return now >= unreachable_until_; }
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
  std::uint64_t revision_ = 0;
  std::int64_t in_progress_ = 0;
  // Requests in progress that were started on an earlier incarnation. As many finishes are left
  // out of the observations.
  std::int64_t in_progress_before_ = 0;

  std::optional<kernel::time_point> slow_start_;
  double latency_ = 0;
  std::optional<kernel::time_point> latency_at_;
  double pressure_ = 0;
  kernel::time_point pressure_at_{};

  kernel::time_point unreachable_until_{};
  kernel::microseconds unreachable_time_{};

  int failures_in_a_row_ = 0;
  // Requests and failures in the current and the previous half of the failure window.
  std::int64_t half_ = 0;
  std::array<std::int64_t, 2> requests_{};
  std::array<std::int64_t, 2> failures_{};

  health state_ = health::kTrusted;
  kernel::time_point ejected_until_{};
  kernel::time_point trusted_since_{};
  int ejections_ = 0;
  int probes_succeeded_ = 0;
};

}  // namespace cornelweir::routing::internal

#endif  // CORNELWEIR_SRC_ROUTING_MEMBER_STATE_H_
