#ifndef CORNELWEIR_SRC_ADMISSION_LIMIT_SHARE_H_
#define CORNELWEIR_SRC_ADMISSION_LIMIT_SHARE_H_

#include <deque>
#include <optional>
#include <utility>
#include <vector>

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

// The share of a service's limit that one daemon may use. A membership that lowers the share takes
// effect at once, one that raises it after a lease time: by then the other daemons have lowered
// theirs or have lost contact. Without contact for a lease time the share does not grow.
class limit_share {
 public:
  explicit limit_share(kernel::upstream_id self) : self_(std::move(self)) {}

  // Takes over the service's limit and its announced upstreams, as a publisher sent them. A new
  // limit takes effect at once, since all daemons learn of it with the same version of the table.
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
  kernel::request_count limit_;
  std::deque<membership> memberships_;
  std::optional<kernel::time_point> last_contact_;
};

}  // namespace cornelweir::admission

#endif  // CORNELWEIR_SRC_ADMISSION_LIMIT_SHARE_H_
