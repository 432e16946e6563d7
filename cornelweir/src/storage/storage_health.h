#ifndef CORNELWEIR_SRC_STORAGE_STORAGE_HEALTH_H_
#define CORNELWEIR_SRC_STORAGE_STORAGE_HEALTH_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::storage {

enum class storage_state : std::uint8_t {
  // The files take writes, and what this host holds follows from them.
  kHealthy,
  // A call failed. The host doesn't take part in the group and waits for the next attempt.
  kFailing,
  // The files are being repaired and read back.
  kRecovering
};

std::string_view StateName(storage_state state);

// A period in which the storage did not take writes.
struct storage_outage {
  kernel::microseconds duration{};
  // Attempts to use the storage again, with the one that succeeded.
  std::uint64_t attempts = 0;
};

// Decides when failed storage is tried again. Does no input or output, and has no clock of its own.
class storage_health {
 public:
  storage_state state() const { return state_; }
  bool IsHealthy() const { return state_ == storage_state::kHealthy; }

  // A call failed: the first of an outage, or one during recovery.
  void OnFault(kernel::time_point now);
  // Whether the time of the next attempt has come.
  bool IsAttemptDue(kernel::time_point now) const;
  void OnAttempt();
  // The attempt succeeded. Returns the outage that it ended.
  storage_outage OnRecovered(kernel::time_point now);

  // The outage that is in progress, until now.
  std::optional<storage_outage> CurrentOutage(kernel::time_point now) const;
  // Whether the outage in progress should be reported again. True once each kOutageReportPeriod.
  bool IsReportDue(kernel::time_point now);
  // The number of outages so far.
  std::uint64_t outages() const { return outages_; }

 private:
  storage_state state_ = storage_state::kHealthy;
  kernel::time_point failed_at_;
  kernel::time_point recovered_at_;
  kernel::time_point next_attempt_;
  kernel::time_point next_report_;
  kernel::microseconds delay_{};
  // Whether the storage failed soon after it had recovered.
  bool unstable_ = false;
  std::uint64_t attempts_ = 0;
  std::uint64_t outages_ = 0;
};

}  // namespace cornelweir::storage

#endif  // CORNELWEIR_SRC_STORAGE_STORAGE_HEALTH_H_
