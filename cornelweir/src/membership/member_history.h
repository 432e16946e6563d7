#ifndef CORNELWEIR_SRC_MEMBERSHIP_MEMBER_HISTORY_H_
#define CORNELWEIR_SRC_MEMBERSHIP_MEMBER_HISTORY_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/membership/member_change.h"
#include "cornelweir/src/membership/upstream_record.h"

namespace cornelweir::membership {

using member_map = std::map<kernel::upstream_id, upstream_record>;

// The members at a revision, and which of them changed since earlier revisions. Used by the member
// table and by publishers, which hold a subset of the members.
class member_history {
 public:
  const member_map& members() const { return members_; }
  kernel::membership_revision revision() const { return revision_; }

  // The members of one service.
  const std::set<kernel::upstream_id>& MembersOf(const kernel::service_name& service) const;

  // Applies changes that lead to revision. Older revisions are ignored.
  void Apply(const std::vector<member_change>& changes, kernel::membership_revision revision);

  // Replaces all members and discards the history before revision.
  void Reset(const member_map& members, kernel::membership_revision revision);

  // The current records of all upstreams in these services that changed after since. Nothing if
  // the history does not reach back that far, or if since is ahead of this history.
  std::optional<std::vector<member_change>> ChangesSince(
      kernel::membership_revision since, const std::set<kernel::service_name>& services) const;
  std::optional<std::vector<member_change>> ChangesSince(kernel::membership_revision since) const;

  // All members of these services.
  std::vector<member_change> CurrentMembers(const std::set<kernel::service_name>& services) const;

 private:
  struct change_entry {
    kernel::membership_revision revision;
    kernel::upstream_id id;
    kernel::service_name service;
  };

  std::optional<std::vector<member_change>> Collect(
      kernel::membership_revision since, const std::set<kernel::service_name>* services) const;
  void Remove(const kernel::upstream_id& id, kernel::membership_revision revision);
  void RecordChange(const kernel::upstream_id& id, const kernel::service_name& service,
                    kernel::membership_revision revision);

  member_map members_;
  std::map<kernel::service_name, std::set<kernel::upstream_id>> by_service_;
  std::deque<change_entry> history_;
  kernel::membership_revision revision_;
  // Changes after this revision are all in history_.
  kernel::membership_revision history_start_;
};

}  // namespace cornelweir::membership

#endif  // CORNELWEIR_SRC_MEMBERSHIP_MEMBER_HISTORY_H_
