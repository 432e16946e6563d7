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
// It is soft state: every daemon reports again and again, so nothing of it is stored.
class roster {
 public:
  // Takes a report. Returns the incarnation that the daemon must exceed for its reports to count,
  // or 0 if the report counts.
  kernel::incarnation RecordReport(const roster_entry& entry, kernel::time_point now);

  // Forgets daemons that nobody reported lately.
  void Expire(kernel::time_point now);

  // Grows with every change that readers need to know.
  std::uint64_t revision() const { return revision_; }
  roster_changes ChangesSince(std::uint64_t revision) const;

  const roster_entry* Find(const kernel::endpoint& daemon) const;
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
