#ifndef CORNELWEIR_SRC_SHUTDOWN_STOP_SEQUENCE_H_
#define CORNELWEIR_SRC_SHUTDOWN_STOP_SEQUENCE_H_

#include <cstdint>

#include "cornelweir/src/kernel/clock.h"

namespace cornelweir::shutdown {

enum class stop_phase : std::uint8_t {
  // No stop was requested.
  kServing,
  // Not ready any more. Callers may not know it yet, so connections are accepted and requests taken
  // that end in time.
  kLeaving,
  // No connection is accepted and the upstream gets no new requests. What is in progress ends.
  kDraining,
  // Everything has ended or is given up. Links to other daemons are closed.
  kClosing,
};

// What a process that stops still has to do.
struct stop_work {
  // Requests of callers or of other daemons, responses that are being sent.
  bool in_progress = false;
  bool callers_connected = false;
  // When a caller last sent a request.
  kernel::time_point last_request_at;
};

// The phases of a graceful stop. The owner calls Advance() at short intervals and does what
// belongs to each phase that is entered.
class stop_sequence {
 public:
  // Starts the stop. stop_at is when the process stops its loop at the latest. Later calls have no
  // effect: a signal that is repeated shortens nothing.
  void Begin(kernel::time_point now, kernel::time_point stop_at);

  // Enters the next phase if it is due, and returns the present one. At most one phase is entered a
  // call, so that the work reflects what the owner did at the last one.
  stop_phase Advance(kernel::time_point now, const stop_work& work);

  stop_phase phase() const { return phase_; }
  bool stopping() const { return phase_ != stop_phase::kServing; }
  // When what is still in progress is given up; the end of time while no stop was requested. A
  // request may be taken only if its time limit ends before.
  kernel::time_point finish_at() const { return finish_at_; }

 private:
  bool IsUnused(kernel::time_point now, const stop_work& work) const;

  stop_phase phase_ = stop_phase::kServing;
  kernel::time_point accept_until_ = kernel::time_point::max();
  kernel::time_point finish_at_ = kernel::time_point::max();
};

}  // namespace cornelweir::shutdown

#endif  // CORNELWEIR_SRC_SHUTDOWN_STOP_SEQUENCE_H_
