#ifndef CORNELWEIR_SRC_ADMISSION_REFUSED_TICKET_H_
#define CORNELWEIR_SRC_ADMISSION_REFUSED_TICKET_H_

#include "cornelweir/src/admission/ticket.h"
#include "cornelweir/src/outcome/refusal_reason.h"

namespace cornelweir::admission {

// A request that was removed from the queue without running.
struct refused_ticket {
  ticket id;
  outcome::refusal_reason reason = outcome::refusal_reason::kQueueFull;

  friend bool operator==(const refused_ticket&, const refused_ticket&) = default;
};

}  // namespace cornelweir::admission

#endif  // CORNELWEIR_SRC_ADMISSION_REFUSED_TICKET_H_
