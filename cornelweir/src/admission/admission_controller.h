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
  // Sets the limits. Returns the tickets that higher limits admit from the queue. Lower limits
  // hold for new admissions; requests in progress are not interrupted.
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

  // When Expire() has something to do next.
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

  struct queued_request {
    kernel::tenant_id tenant;
    priority_class priority = priority_class::kNormal;
    queue_position position;
    outcome::deadline deadline;
    kernel::time_point expiry;
  };
  struct tenant_state {
    std::int64_t in_progress = 0;
    std::int64_t queued = 0;
    // The number of the admission at which the tenant was served last.
    std::uint64_t served = 0;
    std::array<std::set<std::pair<queue_position, ticket>>, kPriorityClasses> queues;
  };

  std::int64_t Capacity() const;
  void Admit(ticket id, const kernel::tenant_id& tenant);
  void Enqueue(ticket id, queued_request request);
  queued_request Dequeue(ticket id);
  void ForgetIfIdle(const kernel::tenant_id& tenant);
  std::vector<ticket> AdmitFromQueue(kernel::time_point now);
  std::optional<ticket> NextOf(std::size_t priority, kernel::time_point now) const;
  std::optional<ticket> Next(kernel::time_point now);
  std::optional<ticket> Displaceable(const kernel::tenant_id& newcomer) const;
  outcome::refusal_reason BlockedBy(const kernel::tenant_id& tenant) const;

  admission_limits limits_;
  kernel::request_count slots_;
  kernel::request_count service_share_;
  bool draining_ = false;
  std::uint64_t arrivals_ = 0;
  std::uint64_t admissions_ = 0;
  std::int64_t turns_ = 0;
  std::array<std::uint64_t, kPriorityClasses> class_served_{};
  std::unordered_map<ticket, kernel::tenant_id> in_progress_;
  std::unordered_map<ticket, queued_request> queue_;
  std::unordered_map<kernel::tenant_id, tenant_state> tenants_;
  std::set<std::pair<kernel::time_point, ticket>> by_expiry_;
};

}  // namespace cornelweir::admission

#endif  // CORNELWEIR_SRC_ADMISSION_ADMISSION_CONTROLLER_H_
