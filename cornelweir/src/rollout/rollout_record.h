#ifndef CORNELWEIR_SRC_ROLLOUT_ROLLOUT_RECORD_H_
#define CORNELWEIR_SRC_ROLLOUT_ROLLOUT_RECORD_H_

#include <algorithm>
#include <cstdint>
#include <tuple>
#include <vector>

#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::rollout {

enum class rollout_state : std::uint8_t { kRunning, kCompleted, kRolledBack };

// The versions that requests are divided between.
enum class version_group : std::uint8_t { kReleased, kTarget };

// The latest rollout of a service.
struct rollout_record {
  kernel::service_name service;
  kernel::software_version target;
  // The versions in use before the rollout. If empty, every known version other than the target.
  std::vector<kernel::software_version> released;
  rollout_state state = rollout_state::kRunning;
  // The fraction of the requests for the target version while the rollout runs.
  kernel::traffic_share share;
  // By the wall clock of the leader, in milliseconds since 1970.
  std::int64_t started_at_ms = 0;
  // From the order to its time limit.
  kernel::milliseconds duration{};
  kernel::order_digest order;
  // The revision at which the rollout started, and that of the latest change of this record.
  kernel::rollout_revision started;
  kernel::rollout_revision revision;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"service", &rollout_record::service},
                      kernel::field{"target", &rollout_record::target},
                      kernel::field{"released", &rollout_record::released},
                      kernel::field{"state", &rollout_record::state},
                      kernel::field{"share", &rollout_record::share},
                      kernel::field{"started_at_ms", &rollout_record::started_at_ms},
                      kernel::field{"duration", &rollout_record::duration},
                      kernel::field{"order", &rollout_record::order},
                      kernel::field{"started", &rollout_record::started},
                      kernel::field{"revision", &rollout_record::revision}};
  }
  friend bool operator==(const rollout_record&, const rollout_record&) = default;
};

inline bool IsRunning(const rollout_record& record) {
  return record.state == rollout_state::kRunning;
}

// Whether the version belongs to the group. An unknown version belongs to none.
inline bool BelongsTo(const rollout_record& record, version_group group,
                      const kernel::software_version& version) {
  if (version.value().empty()) return false;
  if (group == version_group::kTarget) return version == record.target;
  if (version == record.target) return false;
  return record.released.empty() || std::find(record.released.begin(), record.released.end(),
                                              version) != record.released.end();
}

// Whether the record allows requests to the versions of the group.
inline bool Admits(const rollout_record& record, version_group group) {
  const bool is_target = group == version_group::kTarget;
  switch (record.state) {
    case rollout_state::kRunning:
      return is_target ? record.share > kernel::kNoTraffic : record.share < kernel::kAllTraffic;
    case rollout_state::kCompleted:
      return is_target;
    case rollout_state::kRolledBack:
      return !is_target;
  }
  return false;
}

// Whether the record allows requests to an upstream of the version.
inline bool Admits(const rollout_record& record, const kernel::software_version& version) {
  for (const version_group group : {version_group::kReleased, version_group::kTarget}) {
    if (BelongsTo(record, group, version)) return Admits(record, group);
  }
  return false;
}

}  // namespace cornelweir::rollout

#endif  // CORNELWEIR_SRC_ROLLOUT_ROLLOUT_RECORD_H_
