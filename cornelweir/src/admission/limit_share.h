#ifndef CORNELWEIR_SRC_ADMISSION_LIMIT_SHARE_H_
#define CORNELWEIR_SRC_ADMISSION_LIMIT_SHARE_H_

#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "cornelweir/src/admission/limits.h"
#include "cornelweir/src/admission/share_member.h"
#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::admission {

// Divides a limit in proportion to slots with the largest remainder method; equal remainders are
// ordered by id. Returns the shares in the order of members. They sum to the limit exactly unless
// no member has slots. If the limit is smaller than the number of members, some shares are zero and
// those members admit nothing.
std::vector<kernel::request_count> DivideLimit(kernel::request_count limit,
                                               const std::vector<share_member>& members);

// The share of a service's limit that one daemon may use: the smallest of its shares in the
// memberships that were current at this daemon within the last lease time. A membership that lowers
// the share thus takes effect at once, and one that raises it after a lease time. This includes the
// first membership: the share of a daemon that has just joined is zero for a lease time.
//
// If each daemon receives every membership, in order and within a lease time, then at any time
// there is a membership that was current at all of them within the last lease time, so the sum of
// their shares never exceeds the limit. A daemon that has lost contact with its publisher keeps at
// most its present share, so the sum exceeds the limit by no more than the shares of such daemons.
// The share does not grow once contact has been lost for a lease time.
class limit_share {
 public:
  explicit limit_share(kernel::upstream_id self, kernel::microseconds lease = kShareLease)
      : self_(std::move(self)), lease_(lease) {}

  // Applies the service's limit and its announced upstreams, as received from a publisher. A new
  // limit takes effect at once, so that a version of the table is enforced within seconds. While
  // some daemons still use the old limit, the shares of one membership sum to at most the larger
  // limit plus a rounding error of less than one request for each daemon.
  void Update(kernel::request_count limit, std::vector<share_member> members,
              kernel::time_point now);

  // Records that a message of the publisher arrived.
  void OnContact(kernel::time_point now);

  // The share that applies now.
  kernel::request_count Current(kernel::time_point now) const;

  // The next time at which the share may grow without further calls; none if it can't.
  std::optional<kernel::time_point> NextChange(kernel::time_point now) const;

 private:
  // A membership, this daemon's share in it under the current limit, and the time at which the next
  // one replaced it; none for the latest.
  struct membership {
    std::vector<share_member> members;
    kernel::request_count share;
    std::optional<kernel::time_point> replaced_at;
  };

  kernel::request_count ShareIn(const std::vector<share_member>& members) const;
  bool HasRecentContact(kernel::time_point now) const;

  kernel::upstream_id self_;
  kernel::microseconds lease_;
  kernel::request_count limit_;
  std::deque<membership> memberships_;
  std::optional<kernel::time_point> last_contact_;
};

}  // namespace cornelweir::admission

#endif  // CORNELWEIR_SRC_ADMISSION_LIMIT_SHARE_H_
