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
// refused, cancelled, or admitted and later released. The limits bound the memory used: state is
// kept for a workspace only while it has a request in progress or queued.
class admission_controller {
 public:
  // Sets the limits. Returns the tickets that higher limits admit from the queue. Requests in
  // progress above a lower limit continue; queued ones above a lower queue length are refused by
  // the next Expire().
  std::vector<ticket> Configure(const admission_limits& limits, kernel::request_count slots,
                                kernel::request_count service_share, kernel::time_point now);

  // Admits, queues or refuses a request. A queued one is admitted by a later Release() or
  // Configure(), or refused by Expire(), BeginDrain() or another Submit() that displaces it.
  admission_result Submit(ticket id, const kernel::workspace_id& workspace, priority_class priority,
                          const outcome::deadline& deadline, kernel::time_point now);

  // Ends an admitted request. Returns the queued tickets that are admitted in its place.
  std::vector<ticket> Release(ticket id, kernel::time_point now);

  // Returns the tickets refused since the last call: those whose wait limit or deadline has passed,
  // and those above a lowered queue length.
  std::vector<refused_ticket> Expire(kernel::time_point now);

  // The time at which Expire() next has tickets to return; not after the present if it has some
  // already. Every other call may change it.
  std::optional<kernel::time_point> NextExpiry() const;

  // Removes a queued ticket whose caller has disconnected. Returns false if the ticket is not
  // queued; an admitted one must be released.
  bool Cancel(ticket id);

  // Refuses all queued requests and, from now on, all new ones: they did not run, so callers can
  // send them to another upstream. Requests in progress continue.
  [[nodiscard]] std::vector<refused_ticket> BeginDrain();

  kernel::request_count in_progress() const;
  kernel::request_count queued() const;
  bool draining() const { return draining_; }

 private:
  // Earliest deadline first, then in the order of arrival.
  using queue_position = std::pair<kernel::time_point, std::uint64_t>;

  struct workspace_state {
    kernel::workspace_id name;
    std::int64_t in_progress = 0;
    std::int64_t queued = 0;
    // Value of service_sequence_ when the workspace was last served or was added. Unique.
    std::uint64_t last_served = 0;
    std::array<std::set<std::pair<queue_position, ticket>>, kPriorityClasses> queues;
  };
  struct queued_request {
    workspace_state* workspace = nullptr;
    priority_class priority = priority_class::kNormal;
    queue_position position;
    outcome::deadline deadline;
    kernel::time_point expiry;
  };
  // Orders workspaces by requests in progress, then by the time of the last service, oldest first.
  struct fewest_in_progress_first {
    bool operator()(const workspace_state* a, const workspace_state* b) const {
      return std::pair(a->in_progress, a->last_served) < std::pair(b->in_progress, b->last_served);
    }
  };
  // Orders workspaces by queued requests, then by the time of the last service, oldest first.
  struct fewest_queued_first {
    bool operator()(const workspace_state* a, const workspace_state* b) const {
      return std::pair(a->queued, a->last_served) < std::pair(b->queued, b->last_served);
    }
  };

  std::int64_t Capacity() const;
  bool HasCapacity(const workspace_state& workspace) const;
  // The limit that keeps the workspace's next request from running.
  outcome::refusal_reason BlockingLimit(const workspace_state& workspace) const;

  workspace_state& FindOrAddWorkspace(const kernel::workspace_id& name);
  // Applies a change to the values that workspaces are ordered by, and erases a workspace that
  // becomes idle.
  template <class Change>
  void UpdateWorkspace(workspace_state& workspace, Change&& change);

  void Admit(ticket id, workspace_state& workspace);
  void Enqueue(ticket id, const queued_request& request);
  queued_request Dequeue(ticket id);
  std::vector<ticket> AdmitFromQueue(kernel::time_point now);
  // Moves queued requests whose wait limit or deadline has passed to the pending refusals.
  void CollectExpired(kernel::time_point now);
  void AddPendingRefusal(ticket id, outcome::refusal_reason reason, kernel::time_point now);
  // The queued request to admit next; none if every workspace with queued requests is at its limit.
  std::optional<ticket> NextQueued();
  // The queued request to displace next: the one with the latest deadline in the lowest class of
  // the workspace with the most queued requests.
  ticket NextToDisplace() const;

  admission_limits limits_;
  kernel::request_count slots_;
  kernel::request_count service_share_;
  bool draining_ = false;
  std::uint64_t next_arrival_ = 0;
  // Logical time by which workspaces and classes are ordered; grows with each service.
  std::uint64_t service_sequence_ = 0;
  std::int64_t contended_selections_ = 0;
  std::array<std::uint64_t, kPriorityClasses> class_last_served_{};

  std::unordered_map<kernel::workspace_id, workspace_state> workspaces_;
  std::unordered_map<ticket, workspace_state*> in_progress_;
  std::unordered_map<ticket, queued_request> queue_;
  std::set<std::pair<kernel::time_point, ticket>> by_expiry_;
  // The workspaces with queued requests: of each class, and of any class.
  std::array<std::set<workspace_state*, fewest_in_progress_first>, kPriorityClasses>
      workspaces_by_class_;
  std::set<workspace_state*, fewest_queued_first> workspaces_by_queued_;
  // Tickets that were removed from the queue without running and that Expire() has yet to return,
  // and the time at which the first of them was added.
  std::vector<refused_ticket> pending_refusals_;
  kernel::time_point pending_refusals_since_{};
};

}  // namespace cornelweir::admission

#endif  // CORNELWEIR_SRC_ADMISSION_ADMISSION_CONTROLLER_H_
