#ifndef CORNELWEIR_SRC_ADMISSION_OUTBOUND_RESPONSES_H_
#define CORNELWEIR_SRC_ADMISSION_OUTBOUND_RESPONSES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "cornelweir/src/admission/transfer_id.h"
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
// can't carry all. Knows nothing of the network.
class outbound_responses {
 public:
  void Add(const outbound_response& response);
  // Decides on the order, at the rate at which the network takes bodies; 0 if it is unknown. To be
  // called after Add() and periodically. Removes and returns the responses that are given up.
  std::vector<transfer_id> Plan(double bytes_per_second, kernel::time_point now);
  // Records that a part of a response was sent. One that was sent to its end is removed.
  void OnSent(transfer_id id, std::size_t bytes);
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

  bool empty() const { return responses_.empty(); }
  std::size_t unsent_bytes() const { return unsent_bytes_; }

 private:
  struct state {
    outbound_response response;
    std::size_t sent_bytes = 0;

    std::size_t unsent() const { return response.bytes - sent_bytes; }
  };

  void Erase(std::map<transfer_id, state>::iterator ended);

  std::map<transfer_id, state> responses_;
  // All of responses_.
  std::vector<transfer_id> order_;
  std::size_t unsent_bytes_ = 0;
};

}  // namespace cornelweir::admission

#endif  // CORNELWEIR_SRC_ADMISSION_OUTBOUND_RESPONSES_H_
