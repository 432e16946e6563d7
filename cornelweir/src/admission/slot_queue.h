#ifndef CORNELWEIR_SRC_ADMISSION_SLOT_QUEUE_H_
#define CORNELWEIR_SRC_ADMISSION_SLOT_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

#include "cornelweir/src/admission/ticket.h"
#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::admission {

// A request that asks for a slot of an upstream.
struct slot_request {
  ticket id;
  // Part of a request that runs already: turned away, it would waste the slot that its parent
  // holds.
  bool nested = false;
  // 0 is the most urgent.
  std::int32_t priority = 0;
  // A response by then is worth its full credit.
  kernel::time_point objective;
  kernel::time_point deadline;
  // How long requests of its route run on the mean; zero if unknown.
  kernel::microseconds run_time{};
  // How long its response takes to leave after its run, behind the others; zero unless it is large
  // and the network is what it would wait for.
  kernel::microseconds transfer_time{};
};

// What becomes of a request on arrival, and which queued ones give way to it.
struct slot_decision {
  enum class kind : std::uint8_t { kRun, kQueue, kRefuse };
  kind outcome = kind::kRefuse;
  std::vector<ticket> displaced;
};

// A moving mean of run times with one more sample; the first sample is the mean.
kernel::microseconds UpdatedMovingAverage(kernel::microseconds mean, kernel::microseconds sample);

// Runs as many requests on an upstream as it has slots, and lets the others wait: nested ones
// first, then in order of priority, then of their objectives. A request that would wait too long to
// meet its objective is refused at once, while its caller can still go elsewhere; a late one gets a
// slot only if no other request needs it, and the network only if no other response does.
class slot_queue {
 public:
  // Returns the requests that more slots admit.
  std::vector<ticket> SetSlots(std::int64_t slots, kernel::time_point now);

  slot_decision Submit(const slot_request& request, kernel::time_point now);
  // Ends a running request. run_time is given if it ran to its end. Returns those that run next.
  std::vector<ticket> Release(ticket id, std::optional<kernel::microseconds> run_time,
                              kernel::time_point now);
  // Takes a queued request out. False if it is not queued.
  bool Cancel(ticket id);
  // Takes out the requests that can't end in time any more.
  std::vector<ticket> Expire(kernel::time_point now);
  // Takes all queued requests out.
  std::vector<ticket> Clear();

  // How long a request that arrives now would wait for a slot.
  kernel::microseconds ExpectedWait() const;
  std::int64_t slots() const { return slots_; }
  std::int64_t running() const { return static_cast<std::int64_t>(running_.size()); }
  std::int64_t queued() const { return static_cast<std::int64_t>(queue_.size()); }

 private:
  using position = std::tuple<bool, std::int32_t, kernel::time_point, std::uint64_t>;

  std::vector<ticket> Admit(kernel::time_point now);
  kernel::microseconds WaitAt(std::int64_t position) const;
  bool IsHopeless(const slot_request& request, kernel::time_point now) const;
  bool IsTooLate(const slot_request& request, std::int64_t position, kernel::time_point now) const;
  std::vector<ticket> DisplaceLate(kernel::time_point now);

  std::int64_t slots_ = 0;
  std::set<ticket> running_;
  std::map<position, slot_request> queue_;
  std::map<ticket, position> positions_;
  std::uint64_t arrivals_ = 0;
  // Moving mean of the time that a request holds its slot.
  kernel::microseconds run_time_{};
};

}  // namespace cornelweir::admission

#endif  // CORNELWEIR_SRC_ADMISSION_SLOT_QUEUE_H_
