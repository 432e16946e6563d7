#ifndef CORNELWEIR_SRC_MEMBERSHIP_ROSTER_H_
#define CORNELWEIR_SRC_MEMBERSHIP_ROSTER_H_

#include <cstdint>
#include <map>
#include <vector>

#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/membership/roster_entry.h"

namespace cornelweir::membership {

// What changed in a roster since a revision.
struct roster_changes {
  std::vector<roster_entry> present;
  std::vector<kernel::endpoint> gone;
};

// The daemons that a control host knows of, from their own reports and from other control hosts.
// This is soft state: daemons report periodically, so it is not stored.
class roster {
 public:
  // Records a report. Returns 0 if the incarnation is current, otherwise the incarnation that the
  // daemon must exceed for its reports to be accepted.
  kernel::incarnation RecordReport(const roster_entry& entry, kernel::time_point now);

  // Marks daemons as gone that were not reported for kDaemonLease. Erases daemons that are gone
  // once their last report is older than kDaemonRetention.
  void Expire(kernel::time_point now);

  // Increases with every change that subscribers have to receive.
  std::uint64_t revision() const { return revision_; }
  roster_changes ChangesSince(std::uint64_t revision) const;

  // The latest report of a daemon; null if it is unknown or gone.
  const roster_entry* Find(const kernel::endpoint& daemon) const;
  // The daemons that are not gone, with what their upstreams announced.
  std::vector<const roster_entry*> Entries() const;
  // The daemons of a service that are not gone.
  std::vector<const roster_entry*> EntriesOf(const kernel::service_name& service) const;
  // Number of daemons that are not gone.
  std::size_t size() const;

 private:
  struct record {
    roster_entry entry;
    kernel::time_point reported_at;
    std::uint64_t revision = 0;
    bool gone = false;
  };

  std::map<kernel::endpoint, record> records_;
  std::uint64_t revision_ = 0;
};

}  // namespace cornelweir::membership

#endif  // CORNELWEIR_SRC_MEMBERSHIP_ROSTER_H_
