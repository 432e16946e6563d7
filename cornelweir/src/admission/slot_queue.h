#ifndef CORNELWEIR_SRC_ADMISSION_SLOT_QUEUE_H_
#define CORNELWEIR_SRC_ADMISSION_SLOT_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "cornelweir/src/admission/rate_limiter.h"
#include "cornelweir/src/admission/served_ratios.h"
#include "cornelweir/src/admission/slot_refusal.h"
#include "cornelweir/src/admission/slot_request.h"
#include "cornelweir/src/admission/ticket.h"
#include "cornelweir/src/admission/work_shares.h"
#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::admission {

// The decision on a new request, and the requests that it refuses: queued ones in favor of the new
// one, and the new one itself if that is the outcome.
struct slot_decision {
  enum class kind : std::uint8_t { kRun, kQueue, kRefuse };
  kind outcome = kind::kRefuse;
  std::vector<slot_refusal> refused;
};

// Returns an exponential moving average updated with a sample. The average is zero before the first
// sample, which replaces it.
kernel::microseconds UpdatedMovingAverage(kernel::microseconds average,
                                          kernel::microseconds sample);

// Runs as many requests on an upstream as it has slots, and starts them within its rate limit if it
// has one. Queues the others in order of priority, then of the latest time at which they must start
// to meet their objectives.
//
// If a queued request would miss its objective, nested requests before it wait longer, as late as
// their deadlines allow, if they are less urgent, or as urgent and the request runs only briefly:
// the parent of a nested request holds a slot meanwhile. If that is not enough, requests are
// refused while their callers still have time to use another upstream: of those with the lowest
// priority first the ones of workspaces that are above their usual rate, then the ones with the
// longest run times, which lets the most requests meet their objectives. Routes and workspaces that
// get less than a minimum share, and routes that are served much less often than the others, go
// before all others instead. A request whose calls would wait so long that it could not end before
// its deadline is held back until they are expected to be faster. A late request gets a slot only
// if no other request needs it, and the network only if no other response does.
class slot_queue {
 public:
  // Sets the number of slots. Returns the queued requests that run now.
  std::vector<ticket> SetSlots(std::int64_t slots, kernel::time_point now);

  // Sets or removes the limit of the requests started a second. Returns the queued requests that
  // run now.
  std::vector<ticket> SetRateLimit(std::optional<kernel::request_rate> rate,
                                   kernel::time_point now);

  // Runs, queues or refuses a request.
  slot_decision Submit(const slot_request& request, kernel::time_point now);
  // Ends a running request. run_time is set if the request completed. Returns the queued requests
  // that run now.
  std::vector<ticket> Release(ticket id, std::optional<kernel::microseconds> run_time,
                              kernel::time_point now);
  // Sets the time that the calls of a route's requests can expect to wait for slots elsewhere.
  void SetCallWait(const kernel::route_name& route, kernel::microseconds wait);
  // Returns the queued requests that run now because the rate limit allows it again, or because
  // their calls would wait for a shorter time.
  std::vector<ticket> AdmitQueued(kernel::time_point now);
  // Removes a queued request. Returns false if it is not queued.
  bool Cancel(ticket id, kernel::time_point now);
  // Removes and returns the queued requests that can no longer complete before their deadlines.
  std::vector<ticket> Expire(kernel::time_point now);
  // Removes and returns all queued requests.
  std::vector<ticket> Clear();

  // Expected time that a request queued now would wait for a slot and for the rate limit.
  kernel::microseconds ExpectedWait(kernel::time_point now) const;
  std::int64_t slots() const { return slots_; }
  // The number of slots that requests can use at the same time within the rate limit.
  std::int64_t UsableSlots() const;
  const std::optional<kernel::request_rate>& rate_limit() const { return starts_.rate(); }
  std::int64_t running() const { return static_cast<std::int64_t>(running_.size()); }
  std::int64_t queued() const { return static_cast<std::int64_t>(queue_.size()); }

 private:
  struct queued_request {
    slot_request request;
    // Goes before all others, because its route or workspace is below its minimum share.
    bool promoted = false;
    // The time by which it should start. A nested request starts with the one for its objective and
    // gets the one for its deadline when it is deferred.
    kernel::time_point latest_start;
    bool deferred = false;
    std::uint64_t arrival = 0;
  };
  using queue_position = std::vector<queued_request>::iterator;

  bool MayStart(kernel::time_point now) const;
  void Start(ticket id, kernel::time_point now);
  kernel::microseconds MeanRunTime() const;
  // Expected wait at a position of the queue, behind others whose run times sum up to work_ahead.
  kernel::microseconds ExpectedWaitAt(std::int64_t position, kernel::microseconds work_ahead,
                                      kernel::time_point now) const;
  kernel::microseconds WorkOf(const slot_request& request) const;
  static bool IsHeldBack(const slot_request& request, kernel::time_point now);
  static bool WouldMissDeadline(const slot_request& request, kernel::time_point now);
  static bool MayMissObjective(const slot_request& request, bool promoted);
  static kernel::time_point LatestEnd(const slot_request& request, bool promoted);
  bool WouldEndTooLate(const slot_request& request, bool promoted, kernel::microseconds wait,
                       std::int64_t run_time_percent, kernel::time_point now) const;
  bool IsHopeless(const slot_request& request, bool promoted, std::int64_t run_time_percent,
                  kernel::time_point now) const;
  static slot_refusal_cause HopelessCause(const slot_request& request, bool promoted);
  bool IsBelowMinimumShare(const slot_request& request, kernel::time_point now) const;
  bool MayPromote(const queued_request& late, kernel::time_point now) const;
  bool MayDefer(const slot_request& nested, const slot_request& other) const;
  // Counts a request as accepted, or takes that back. change is 1 or -1.
  void CountAccepted(const slot_request& request, int change, kernel::time_point now);
  static bool IsBefore(const queued_request& first, const queued_request& second);
  void Insert(queued_request added);
  // Moves an element to the place that its changed fields give it.
  void Reinsert(queue_position changed);
  queue_position FirstLateRequest(ticket newest, kernel::time_point now);
  queue_position SelectVictim(queue_position late, kernel::time_point now);
  std::vector<slot_refusal> RemoveLateRequests(ticket newest, kernel::time_point now);

  std::int64_t slots_ = 0;
  rate_limiter starts_;
  std::set<ticket> running_;
  // In the order of service.
  std::vector<queued_request> queue_;
  work_shares<kernel::route_name> route_shares_;
  work_shares<kernel::workspace_id> workspace_shares_;
  // Of requests that no other upstream can serve. One that is refused here and accepted at the next
  // upstream would make its route seem to be served less often than it is.
  served_ratios<kernel::route_name> route_ratios_;
  std::uint64_t next_arrival_ = 0;
  // Moving average of the time that a request holds its slot.
  kernel::microseconds run_time_{};
};

}  // namespace cornelweir::admission

#endif  // CORNELWEIR_SRC_ADMISSION_SLOT_QUEUE_H_
