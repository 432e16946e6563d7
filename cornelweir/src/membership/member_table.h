#ifndef CORNELWEIR_SRC_MEMBERSHIP_MEMBER_TABLE_H_
#define CORNELWEIR_SRC_MEMBERSHIP_MEMBER_TABLE_H_

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/membership/announce_result.h"
#include "cornelweir/src/membership/member_change.h"
#include "cornelweir/src/membership/member_history.h"
#include "cornelweir/src/membership/member_snapshot.h"
#include "cornelweir/src/membership/upstream_record.h"

namespace cornelweir::membership {

// The announced upstreams: part of the replicated state machine, driven by log entries only. The
// revision argument is the index of the entry.
//
// An incarnation at or below one that has left is never accepted: its announcement may have been
// delayed, and its process may be gone. When tombstones are dropped, the largest incarnation among
// them is kept, and the incarnations of unknown upstreams must exceed it.
class member_table {
 public:
  // Adds an upstream, or changes its state or other reported values. The state kGone removes it.
  announce_result Announce(const upstream_record& record, kernel::membership_revision revision);

  // Removes an upstream unless a later incarnation of it is recorded. Returns whether the members
  // changed.
  bool Leave(const kernel::upstream_id& id, kernel::incarnation incarnation,
             kernel::membership_revision revision);

  const member_map& members() const { return history_.members(); }
  const member_history& history() const { return history_; }

  // The revision of the latest change to the members.
  kernel::membership_revision revision() const { return history_.revision(); }

  // The current records of all upstreams in these services that changed after since; nullopt if the
  // history does not reach back that far.
  std::optional<std::vector<member_change>> ChangesSince(
      kernel::membership_revision since, const std::set<kernel::service_name>& services) const {
    return history_.ChangesSince(since, services);
  }

  member_snapshot Snapshot() const;
  void Restore(const member_snapshot& snapshot);

 private:
  struct departure {
    kernel::incarnation incarnation;
    kernel::membership_revision revision;
  };

  void AddTombstone(const kernel::upstream_id& id, kernel::incarnation incarnation,
                    kernel::membership_revision revision);

  member_history history_;
  std::map<kernel::upstream_id, departure> tombstones_;
  std::set<std::pair<kernel::membership_revision, kernel::upstream_id>> tombstones_by_age_;
  kernel::incarnation incarnation_floor_;
};

}  // namespace cornelweir::membership

#endif  // CORNELWEIR_SRC_MEMBERSHIP_MEMBER_TABLE_H_
