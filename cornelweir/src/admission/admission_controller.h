#ifndef CORNELWEIR_SRC_ADMISSION_ADMISSION_CONTROLLER_H_
#define CORNELWEIR_SRC_ADMISSION_ADMISSION_CONTROLLER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cornelweir/src/admission/admission_limits.h"
#include "cornelweir/src/admission/admission_result.h"
#include "cornelweir/src/admission/priority_class.h"
#include "cornelweir/src/admission/refused_ticket.h"
#include "cornelweir/src/admission/ticket.h"
#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/quantity.h"
#include "cornelweir/src/outcome/deadline.h"

namespace cornelweir::admission {

// Decides which requests run on an upstream. Each submitted ticket ends in exactly one way: it is
// refused, cancelled, or admitted and later released. Memory is bounded by the limits: a tenant is
// known only while it has a request in progress or queued.
class admission_controller {
 public:
  // Sets the limits. Returns the tickets that higher limits admit from the queue. Requests in
  // progress above a lower limit continue; queued ones above a lower queue length are refused by
  // the next Expire().
  std::vector<ticket> Configure(const admission_limits& limits, kernel::request_count slots,
                                kernel::request_count service_share, kernel::time_point now);

  // Asks to run a request. A queued one is admitted by a later Release() or Configure(), or
  // refused by Expire(), BeginDrain() or another Submit() that displaces it.
  admission_result Submit(ticket id, const kernel::tenant_id& tenant, priority_class priority,
                          const outcome::deadline& deadline, kernel::time_point now);

  // Ends an admitted request. Returns the tickets that are admitted in its place.
  std::vector<ticket> Release(ticket id, kernel::time_point now);

  // Refuses the queued tickets whose wait limit or deadline has passed.
  std::vector<refused_ticket> Expire(kernel::time_point now);

  // When Expire() has something to do next; a time that has passed if it has now. Changes with
  // every other call.
  std::optional<kernel::time_point> NextExpiry() const;

  // Takes a ticket out of the queue because its caller has gone. Returns false if it is not
  // queued; an admitted one must be released.
  bool Cancel(ticket id);

  // Refuses all new and queued requests: they did not run and can run elsewhere. Requests in
  // progress continue.
  [[nodiscard]] std::vector<refused_ticket> BeginDrain();

  kernel::request_count in_progress() const;
  kernel::request_count queued() const;
  bool draining() const { return draining_; }

 private:
  // Earliest deadline first, then in the order of arrival.
  using queue_position = std::pair<kernel::time_point, std::uint64_t>;

  struct tenant_state {
    kernel::tenant_id name;
    std::int64_t in_progress = 0;
    std::int64_t queued = 0;
    // When the tenant was served last or became known, in units of stamp_. No two are equal.
    std::uint64_t served = 0;
    std::array<std::set<std::pair<queue_position, ticket>>, kPriorityClasses> queues;
  };
  struct queued_request {
    tenant_state* tenant = nullptr;
    priority_class priority = priority_class::kNormal;
    queue_position position;
    outcome::deadline deadline;
    kernel::time_point expiry;
  };
  // The tenant with the fewest requests in progress first, then the one not served for longest.
  struct served_first {
    bool operator()(const tenant_state* a, const tenant_state* b) const {
      return std::pair(a->in_progress, a->served) < std::pair(b->in_progress, b->served);
    }
  };
  struct fewest_queued_first {
    bool operator()(const tenant_state* a, const tenant_state* b) const {
      return std::pair(a->queued, a->served) < std::pair(b->queued, b->served);
    }
  };

  std::int64_t Capacity() const;
  bool HasRoom(const tenant_state& tenant) const;
  outcome::refusal_reason BlockedBy(const tenant_state& tenant) const;

  tenant_state& Tenant(const kernel::tenant_id& name);
  // Applies a change to what tenants are ordered by, and forgets a tenant that becomes idle.
  template <class Change>
  void Modify(tenant_state& tenant, Change&& change);

  void Admit(ticket id, tenant_state& tenant);
  void Enqueue(ticket id, const queued_request& request);
  queued_request Dequeue(ticket id);
  std::vector<ticket> AdmitFromQueue(kernel::time_point now);
  void SweepExpired(kernel::time_point now);
  void RefuseLater(ticket id, outcome::refusal_reason reason, kernel::time_point now);
  std::optional<ticket> Next();
  // The queued request that is given up first: of the tenant with the most queued ones, in its
  // lowest class, the one with the latest deadline.
  ticket LeastEntitled() const;

  admission_limits limits_;
  kernel::request_count slots_;
  kernel::request_count service_share_;
  bool draining_ = false;
  std::uint64_t arrivals_ = 0;
  // Counts events that order tenants and classes by the time of their last service.
  std::uint64_t stamp_ = 0;
  std::int64_t turns_ = 0;
  std::array<std::uint64_t, kPriorityClasses> class_served_{};

  std::unordered_map<kernel::tenant_id, tenant_state> tenants_;
  std::unordered_map<ticket, tenant_state*> in_progress_;
  std::unordered_map<ticket, queued_request> queue_;
  std::set<std::pair<kernel::time_point, ticket>> by_expiry_;
  // The tenants with queued requests of each class, and of any class.
  std::array<std::set<tenant_state*, served_first>, kPriorityClasses> waiting_;
  std::set<tenant_state*, fewest_queued_first> by_queued_;
  // Tickets that left the queue without running and that Expire() has yet to return, and the time
  // since which there are some.
  std::vector<refused_ticket> expired_;
  kernel::time_point expired_since_{};
};

}  // namespace cornelweir::admission

#endif  // CORNELWEIR_SRC_ADMISSION_ADMISSION_CONTROLLER_H_
