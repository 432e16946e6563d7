#ifndef CORNELWEIR_SRC_ADMISSION_OUTBOUND_RESPONSES_H_
#define CORNELWEIR_SRC_ADMISSION_OUTBOUND_RESPONSES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "cornelweir/src/admission/transfer_id.h"
#include "cornelweir/src/admission/transfer_plan.h"
#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::admission {

// A large response that waits for the network.
struct outbound_response {
  transfer_id id;
  std::size_t bytes = 0;
  // 0 is the most urgent.
  std::int32_t priority = 0;
  // The time by which it should be sent to meet the target latency.
  kernel::time_point objective;
  // When its receiver stops waiting for it.
  kernel::time_point deadline;
  // Its request may be repeated, so that nothing is lost if the response is given up.
  bool may_be_dropped = false;
};

// Orders the large responses of a host, and decides which ones are given up because the network
// can't carry all. The order is that of PlanTransfers(): where not all can be sent in time, the
// shortest are, so that a link serves as many callers as possible. A response of which a part was
// sent is sent to its end, and so is one that may not be dropped. The others are given up when they
// are not expected to be sent before their deadlines behind those that are in time, so that their
// callers need not wait for nothing. While the queue of those in time is a standing one, all that
// are late are given up: a queue that a burst has left ends, a standing one does not. One late
// response at a time is kept all the same, whatever its size, and gets a part of the bytes, so that
// long ones are not starved. Knows nothing of the network.
class outbound_responses {
 public:
  void Add(const outbound_response& response);
  // Sets whether the receiver takes nothing at present. Such a response keeps its place only until
  // its deadline, and the others are planned without it.
  void SetStalled(transfer_id id, bool stalled);
  // Decides on the order, at the rate at which the network takes bodies; 0 if it is unknown. To be
  // called after Add() and periodically. Removes and returns the responses that are given up.
  std::vector<transfer_id> Plan(double bytes_per_second, kernel::time_point now);
  // Records that a part of a response was sent. One that was sent to its end is removed.
  void OnSent(transfer_id id, std::size_t bytes, kernel::time_point now);
  // Removes a response that is not sent.
  void Remove(transfer_id id);

  // The first response in the order of service that may be sent now; empty if there is none.
  template <class Predicate>
  std::optional<transfer_id> Next(Predicate&& may_be_sent) const {
    for (const transfer_id id : order_) {
      if (may_be_sent(id)) return id;
    }
    return std::nullopt;
  }

  // Whether more responses may be made than the network can carry, so that the shortest can be
  // sent.
  bool MayExceedNetwork(kernel::time_point now) const;

  bool empty() const { return responses_.empty(); }
  std::size_t unsent_bytes() const { return unsent_bytes_; }

 private:
  struct state {
    outbound_response response;
    std::size_t sent_bytes = 0;

    // It goes before others and is not given up.
    bool committed = false;
    bool stalled = false;

    std::size_t unsent() const { return response.bytes - sent_bytes; }
  };

  void SelectLateResponse(const std::vector<planned_transfer>& plan,
                          const std::vector<transfer_id>& ids);
  bool IsStandingQueue(kernel::time_point now) const;
  bool IsHopeless(const state& late, kernel::time_point complete_at, kernel::time_point now) const;

  // Numbers that decay with kDropDecayTime.
  struct decaying_counts {
    double sent = 0;
    double dropped = 0;
    kernel::time_point counted_at;

    decaying_counts At(kernel::time_point now) const;
  };

  void Erase(std::map<transfer_id, state>::iterator ended);

  std::map<transfer_id, state> responses_;
  // Those of responses_ that are not stalled.
  std::vector<transfer_id> order_;
  std::size_t unsent_bytes_ = 0;
  // The late response that is kept, and the bytes that may be sent of it before those in time.
  std::optional<transfer_id> kept_late_;
  std::size_t late_credit_ = 0;
  // Since when responses have waited all the time.
  std::optional<kernel::time_point> waiting_since_;
  decaying_counts counts_;
};

}  // namespace cornelweir::admission

#endif  // CORNELWEIR_SRC_ADMISSION_OUTBOUND_RESPONSES_H_
