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

// Divides a limit in proportion to slots by largest remainder; remainders that are equal go by id.
// The shares, in the order of members, sum to the limit exactly unless no member has slots. If the
// limit is smaller than the number of members, some get a share of zero and admit nothing.
std::vector<kernel::request_count> DivideLimit(kernel::request_count limit,
                                               const std::vector<share_member>& members);

// The share of a service's limit that one daemon may use: the smallest of its shares in the
// memberships that it held within the last lease time. A membership that lowers the share thus
// takes effect at once, one that raises it after a lease time. This includes the first membership:
// a daemon that has just joined has no share for a lease time.
//
// If each daemon is told of each membership, in order and within a lease time, then for any time
// there is a membership that all of them held within the lease time before, so that their shares
// never sum above the limit. A daemon without contact keeps at most the share that it has, so that
// the sum exceeds the limit by no more than the shares of such daemons. Without contact for a lease
// time the share does not grow.
class limit_share {
 public:
  explicit limit_share(kernel::upstream_id self, kernel::microseconds lease = kShareLease)
      : self_(std::move(self)), lease_(lease) {}

  // Takes over the service's limit and its announced upstreams, as a publisher sent them. A new
  // limit takes effect at once, so that a version of the table is enforced within seconds: shares
  // of two limits in the same membership sum to at most the larger limit plus the rounding, which
  // is below one request for each daemon.
  void Update(kernel::request_count limit, std::vector<share_member> members,
              kernel::time_point now);

  // The publisher was heard from.
  void OnContact(kernel::time_point now);

  // The share that holds now.
  kernel::request_count Current(kernel::time_point now) const;

  // When the share may grow next without further calls.
  std::optional<kernel::time_point> NextChange(kernel::time_point now) const;

 private:
  // A membership, its share for this daemon under the current limit, and the time at which it was
  // replaced by the next one; none for the latest.
  struct membership {
    std::vector<share_member> members;
    kernel::request_count share;
    std::optional<kernel::time_point> replaced;
  };

  kernel::request_count ShareIn(const std::vector<share_member>& members) const;
  bool InContact(kernel::time_point now) const;

  kernel::upstream_id self_;
  kernel::microseconds lease_;
  kernel::request_count limit_;
  std::deque<membership> memberships_;
  std::optional<kernel::time_point> last_contact_;
};

}  // namespace cornelweir::admission

#endif  // CORNELWEIR_SRC_ADMISSION_LIMIT_SHARE_H_
