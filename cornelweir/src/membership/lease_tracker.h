#ifndef CORNELWEIR_SRC_MEMBERSHIP_LEASE_TRACKER_H_
#define CORNELWEIR_SRC_MEMBERSHIP_LEASE_TRACKER_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/membership/member_table.h"
#include "cornelweir/src/membership/upstream_record.h"

namespace cornelweir::membership {

// An upstream that the leader should propose to remove.
struct expired_lease {
  kernel::upstream_id id;
  kernel::incarnation incarnation;

  friend bool operator==(const expired_lease&, const expired_lease&) = default;
};

// The leases of announced upstreams, kept by the leader only and in memory only.
//
// A leader that was paused or partitioned receives no renewals although the upstreams are running.
// Four rules keep it from removing all of them when it resumes:
// - a new leader restarts every lease, so nothing expires within its first lease time;
// - if Expire() was not called for kMaxExpireGap, the process was paused, and every lease restarts;
// - nothing expires while no renewal at all arrived for kMaxRenewalGap;
// - within one lease time at most 1/kExpiryShareDivisor of a service (at least one upstream)
//   expires, except for upstreams whose daemon's address refused a connection.
class lease_tracker {
 public:
  // Called when this host becomes leader: every recorded upstream gets a full lease.
  void Restart(const member_table& table, kernel::time_point now);

  // Called when this host is no longer leader: stops tracking all leases.
  void Stop();

  // Starts a lease after an announcement was accepted.
  void Track(const upstream_record& record, kernel::time_point now);

  // Drops the lease of an upstream that left.
  void Untrack(const kernel::upstream_id& id);

  // Extends a lease. Returns false if this incarnation is not the tracked one; its daemon then has
  // to announce the upstream again.
  bool Renew(const kernel::upstream_id& id, kernel::incarnation incarnation,
             kernel::time_point now);

  // Records that the daemon's host refused a connection because nothing listens on the address any
  // more. The lease still has to expire, but its expiry does not count against the share.
  void OnConnectionRefused(const kernel::upstream_id& id, kernel::incarnation incarnation);

  // Returns the upstreams to remove now. Must be called at least every kMaxExpireGap. An upstream
  // is returned again a lease time later if it is still tracked, in case the proposal was lost.
  std::vector<expired_lease> Expire(kernel::time_point now);

  std::size_t size() const { return leases_.size(); }

 private:
  struct lease {
    kernel::service_name service;
    kernel::incarnation incarnation;
    kernel::time_point end;
    bool connection_refused = false;
  };

  void SetEnd(const kernel::upstream_id& id, lease& entry, kernel::time_point end);
  // Counts an expiry against the share of the service. Returns false if the share is used up.
  bool ReserveExpiry(const kernel::service_name& service, kernel::time_point now);

  std::map<kernel::upstream_id, lease> leases_;
  std::set<std::pair<kernel::time_point, kernel::upstream_id>> by_end_;
  // Tracked upstreams of each service.
  std::map<kernel::service_name, std::size_t> service_sizes_;
  std::map<kernel::service_name, std::deque<kernel::time_point>> recent_expiries_;
  kernel::time_point last_renewal_;
  std::optional<kernel::time_point> last_expire_;
};

}  // namespace cornelweir::membership

#endif  // CORNELWEIR_SRC_MEMBERSHIP_LEASE_TRACKER_H_
