#ifndef CORNELWEIR_SRC_QUOTA_QUOTA_OWNER_H_
#define CORNELWEIR_SRC_QUOTA_QUOTA_OWNER_H_

#include <cstddef>
#include <optional>
#include <unordered_map>

#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/quantity.h"
#include "cornelweir/src/quota/messages.h"
#include "cornelweir/src/quota/quota_limits.h"
#include "cornelweir/src/quota/reserve_ledger.h"
#include "cornelweir/src/quota/workspace_limit.h"

namespace cornelweir::quota {

// Issues the tokens of all workspaces, on the leader of the control group. Each workspace in use
// has a token bucket.
class quota_owner {
 public:
  explicit quota_owner(const quota_limits& limits) : limits_(limits) {}

  // To be called when this host becomes the leader. All buckets are empty when the time in which an
  // earlier owner may still issue has passed: what that owner issued is unknown. A grant below what
  // a full bucket would have given is marked as pending. After one window and one token lifetime,
  // no window contains tokens of an earlier owner any more, and the buckets hold what they would if
  // they had been full at the start.
  void Restart(kernel::time_point leader_since);

  // Whether tokens may be issued, given when the last heartbeat round that a majority confirmed was
  // sent; empty if none was confirmed in the term of this leader.
  bool MayIssue(std::optional<kernel::time_point> confirmed_sent_at, kernel::time_point now) const;

  // Issues up to the wanted number of tokens. Must be called only if MayIssue() is true at this
  // time.
  token_grant Issue(const token_request& request, const workspace_limit& limit,
                    kernel::time_point now);

  // Answers the statement of a control host about its reserve of a workspace, after Issue() for the
  // same workspace. A reserve grows only by tokens that a bucket holds beyond half of its capacity,
  // so that it takes none from a workspace that is close to its limit.
  void IssueReserve(const reserve_statement& statement, token_grant& grant, kernel::time_point now);

  // Drops the buckets that are full. A bucket that is created later starts as full as the dropped
  // one would be.
  void DropFullBuckets(kernel::time_point now);
  std::size_t buckets() const { return buckets_.size(); }

 private:
  struct bucket {
    workspace_limit limit;
    double tokens = 0;
    // What the bucket would hold if it had been full at the start, and what it would hold if it
    // had also served the requests that waited for tokens in vain.
    double most_tokens = 0;
    double unclaimed = 0;
    kernel::time_point updated_at;
    reserve_ledger reserves;
  };

  void Refill(bucket& source, const workspace_limit& limit, kernel::time_point now) const;

  quota_limits limits_;
  // The earliest time at which tokens may be issued.
  kernel::time_point start_;
  std::unordered_map<kernel::workspace_id, bucket> buckets_;
};

}  // namespace cornelweir::quota

#endif  // CORNELWEIR_SRC_QUOTA_QUOTA_OWNER_H_
