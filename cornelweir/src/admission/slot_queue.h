#ifndef CORNELWEIR_SRC_ADMISSION_SLOT_QUEUE_H_
#define CORNELWEIR_SRC_ADMISSION_SLOT_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

#include "cornelweir/src/admission/rate_limiter.h"
#include "cornelweir/src/admission/ticket.h"
#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::admission {

// A request that asks for a slot of an upstream.
struct slot_request {
  ticket id;
  // Sent by an upstream as part of a request that is already running. Refusing it would waste the
  // slot that its parent holds.
  bool nested = false;
  // 0 is the most urgent.
  std::int32_t priority = 0;
  // The time by which the response should be sent to meet the target latency.
  kernel::time_point objective;
  kernel::time_point deadline;
  // Mean run time of the requests of its route; zero if unknown.
  kernel::microseconds run_time{};
  // Expected time to send its response after the run, including the wait for other responses; zero
  // unless the response is large and the network is the bottleneck.
  kernel::microseconds transfer_time{};
};

// The decision on a new request, and the queued requests that are refused in favor of it.
struct slot_decision {
  enum class kind : std::uint8_t { kRun, kQueue, kRefuse };
  kind outcome = kind::kRefuse;
  std::vector<ticket> displaced;
};

// Returns an exponential moving average updated with a sample. The average is zero before the first
// sample, which replaces it.
kernel::microseconds UpdatedMovingAverage(kernel::microseconds average,
                                          kernel::microseconds sample);

// Runs as many requests on an upstream as it has slots, and starts them within its rate limit if it
// has one. Queues the others: nested requests first, then in order of priority, then of objective.
// A request that would wait too long to meet its objective is refused at once, while its caller
// still has time to use another upstream. A late request gets a slot only if no other request needs
// it, and the network only if no other response does.
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
  // Returns the queued requests that run now because the rate limit allows it again.
  std::vector<ticket> AdmitQueued(kernel::time_point now);
  // Removes a queued request. Returns false if it is not queued.
  bool Cancel(ticket id);
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
  // Sort key of the queue: not nested, priority, objective, number of arrival.
  using queue_key = std::tuple<bool, std::int32_t, kernel::time_point, std::uint64_t>;

  bool MayStart(kernel::time_point now) const;
  void Start(ticket id, kernel::time_point now);
  kernel::microseconds MeanRunTime() const;
  kernel::microseconds ExpectedWaitAt(std::int64_t position, kernel::time_point now) const;
  bool WouldMissDeadline(const slot_request& request, kernel::time_point now) const;
  bool WouldEndTooLate(const slot_request& request, std::int64_t position,
                       kernel::time_point now) const;
  std::vector<ticket> DisplaceLateRequests(kernel::time_point now);

  std::int64_t slots_ = 0;
  rate_limiter starts_;
  std::set<ticket> running_;
  std::map<queue_key, slot_request> queue_;
  std::map<ticket, queue_key> queue_keys_;
  std::uint64_t next_arrival_ = 0;
  // Moving average of the time that a request holds its slot.
  kernel::microseconds run_time_{};
};

}  // namespace cornelweir::admission

#endif  // CORNELWEIR_SRC_ADMISSION_SLOT_QUEUE_H_
