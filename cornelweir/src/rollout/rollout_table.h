#ifndef CORNELWEIR_SRC_ROLLOUT_ROLLOUT_TABLE_H_
#define CORNELWEIR_SRC_ROLLOUT_ROLLOUT_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "cornelweir/routing.h"
#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/rollout/rollout_record.h"

namespace cornelweir::rollout {

// The rollout records that a daemon knows, and its selection of a version for each request. Costs
// nothing for services without a record.
class rollout_table {
 public:
  // start_offset should differ between daemons, see weighted_round_robin.
  explicit rollout_table(std::uint64_t start_offset) : start_offset_(start_offset) {}

  // Replaces the given records and keeps the others. Ignores records that are not newer. Returns
  // whether a record changed.
  bool Apply(const std::vector<rollout_record>& records, kernel::time_point now);

  kernel::rollout_revision revision() const { return revision_; }
  // Null if there was no rollout of the service.
  const rollout_record* Find(const kernel::service_name& service) const {
    if (entries_.empty()) return nullptr;
    const auto found = entries_.find(service);
    return found == entries_.end() ? nullptr : &found->second.record;
  }

  // Returns the group that a new request is for. Requires a record.
  version_group Select(const kernel::service_name& service);
  // The period for ActiveSubset(). Requires a record.
  std::uint64_t SubsetPeriod(const kernel::service_name& service, kernel::time_point now) const;

 private:
  struct entry {
    rollout_record record;
    kernel::time_point learned_at;
    // Indexed by version_group. Only while a rollout runs.
    std::optional<routing::weighted_round_robin> order;
  };

  std::uint64_t start_offset_;
  std::map<kernel::service_name, entry> entries_;
  kernel::rollout_revision revision_;
};

// The groups to try for a request, the preferred one first.
struct group_preference {
  version_group first = version_group::kReleased;
  // Empty if the request must not go to the other group.
  std::optional<version_group> second;
};

// Returns where a request may go that was selected for the group. A request for the target may
// always go to a released version, since that has served before. The reverse is allowed only above
// the first share, so that released upstreams without capacity do not raise the share of a version
// without evidence.
group_preference PreferenceOf(const rollout_record& record, version_group selected);

}  // namespace cornelweir::rollout

#endif  // CORNELWEIR_SRC_ROLLOUT_ROLLOUT_TABLE_H_
