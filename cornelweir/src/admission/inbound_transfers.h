#ifndef CORNELWEIR_SRC_ADMISSION_INBOUND_TRANSFERS_H_
#define CORNELWEIR_SRC_ADMISSION_INBOUND_TRANSFERS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "cornelweir/src/admission/arrival_rate.h"
#include "cornelweir/src/admission/credit_window.h"
#include "cornelweir/src/admission/transfer_id.h"
#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::admission {

// A large request body that another daemon has announced.
struct transfer_request {
  transfer_id id;
  std::size_t bytes = 0;
  // 0 is the most urgent.
  std::int32_t priority = 0;
  // The time by which the response should be sent to meet the target latency.
  kernel::time_point objective;
  kernel::time_point deadline;
  // Mean run time of the requests of its route; zero if unknown.
  kernel::microseconds run_time{};
  // When a slot is expected to be free for it.
  kernel::time_point slot_at;
  // Another host can be tried, so the body is refused here if it would miss its objective.
  bool has_alternative = false;
};

// The number of further bytes of a body that its sender may send.
struct transfer_credit {
  transfer_id id;
  std::size_t bytes = 0;
};

// The state of a body after a part of it has arrived.
enum class transfer_progress : std::uint8_t {
  kPartial,
  // The whole body has arrived; the transfer has ended.
  kComplete,
  // The transfer is not known any more, for instance because the body was refused.
  kUnknown,
  // The sender has sent more than it was granted.
  kBeyondCredit,
};

// Orders the large bodies that arrive over the link of a host, and grants credit to their senders
// so that the bytes on the way take the link about kCreditTime. Small messages then wait only
// briefly behind them. Bodies are served by priority; within one priority, those that can meet
// their objectives go first, in the order of the objectives, and the others follow in the order of
// their deadlines. A body that can't arrive and run before its deadline is refused before any of
// it is sent. Knows nothing of the network.
class inbound_transfers {
 public:
  // Accepts or refuses a body. Refuses it if it can't arrive and run before its deadline behind the
  // bodies that go first, or before its objective if it has an alternative. Expire() then returns
  // those that it displaces.
  bool Announce(const transfer_request& request, kernel::time_point now);
  // Returns the credit to send to the senders now, each part in a message of its own. Called after
  // any other change, and periodically while there are transfers, since credit of stalled senders
  // is granted to others.
  std::vector<transfer_credit> Grant(kernel::time_point now);
  // Records that a part of a body has arrived.
  transfer_progress OnArrived(transfer_id id, std::size_t bytes, kernel::time_point now);
  // Ends the transfer: it was cancelled or its link is closed. What was sent of it has arrived or
  // is lost.
  void Remove(transfer_id id);
  // Removes and returns the transfers that can't arrive and run before their deadlines. A body that
  // has arrived in part is given up only if it is late even without the others.
  std::vector<transfer_id> Expire(kernel::time_point now);

  bool empty() const { return transfers_.empty(); }
  // The bytes of all announced bodies that have not arrived.
  std::size_t missing_bytes() const { return missing_bytes_; }
  // Expected time until all of them have arrived; zero while the rate of the link is unknown.
  kernel::microseconds DrainTime() const { return rate_.TimeFor(missing_bytes_); }
  // The rate of the link as learned from arrivals; 0 if unknown.
  double bytes_per_second() const { return rate_.bytes_per_second(); }
  // The bytes that may be on the way from all senders that are not stalled.
  std::size_t CreditWindow() const;
  // Granted bytes on the way.
  std::size_t outstanding_bytes() const { return outstanding_ + stalled_outstanding_; }

 private:
  struct grant {
    // The value of arrived when it has arrived in full.
    std::size_t end = 0;
    std::size_t bytes = 0;
    kernel::time_point at;
    // See credit_window::OnArrived().
    bool link_was_busy = false;
  };
  struct transfer {
    transfer_request request;
    std::uint64_t arrival = 0;
    std::size_t granted = 0;
    std::size_t arrived = 0;
    // Since when the sender has had unused credit without a further arrival.
    kernel::time_point waiting_since;
    // The grants that have not arrived in full, oldest first.
    std::deque<grant> grants;
    bool stalled = false;

    std::size_t missing() const { return request.bytes - arrived; }
    std::size_t ungranted() const { return request.bytes - granted; }
    std::size_t outstanding() const { return granted - arrived; }
  };
  // A transfer and when the last byte of its body is expected.
  struct planned_body {
    transfer* planned = nullptr;
    kernel::time_point complete_at;
    // It is not expected to meet its objective.
    bool late = false;
  };

  std::vector<planned_body> Plan(kernel::time_point now);
  static kernel::time_point DueTime(const transfer_request& request);
  static bool MeetsDeadline(const transfer& body, kernel::time_point complete_at);
  bool MayGrant(std::size_t bytes) const;
  std::vector<transfer_credit> GrantInOrder(kernel::time_point now);
  void GrantTo(transfer& body, kernel::time_point now, std::vector<transfer_credit>& credits);
  void DetectStalledSenders(kernel::time_point now);
  void Erase(std::map<transfer_id, transfer>::iterator ended);

  std::map<transfer_id, transfer> transfers_;
  std::uint64_t next_arrival_ = 0;
  std::size_t missing_bytes_ = 0;
  // Total size of the bodies of which a part has been granted.
  std::size_t started_bytes_ = 0;
  // Granted bytes on the way from senders that are not stalled, and from those that are.
  std::size_t outstanding_ = 0;
  std::size_t stalled_outstanding_ = 0;
  arrival_rate rate_;
  credit_window window_;
};

}  // namespace cornelweir::admission

#endif  // CORNELWEIR_SRC_ADMISSION_INBOUND_TRANSFERS_H_
