#ifndef CORNELWEIR_SRC_ADMISSION_SLOT_REFUSAL_H_
#define CORNELWEIR_SRC_ADMISSION_SLOT_REFUSAL_H_

#include <cstdint>
#include <string_view>

#include "cornelweir/src/admission/ticket.h"

namespace cornelweir::admission {

// Why a request gets no slot.
enum class slot_refusal_cause : std::uint8_t {
  // It would end after its deadline even if it started now.
  kDeadline,
  // It would end after its objective even if it were the next to start.
  kObjective,
  // Its response is large, and with the time to send it, it would end after its objective even if
  // it were the next to start.
  kNetwork,
  // It, or a request before it, would be late behind the others.
  kOrder,
};

constexpr std::string_view ToString(slot_refusal_cause cause) {
  switch (cause) {
    case slot_refusal_cause::kDeadline:
      return "deadline";
    case slot_refusal_cause::kObjective:
      return "objective";
    case slot_refusal_cause::kNetwork:
      return "network";
    case slot_refusal_cause::kOrder:
      return "order";
  }
  return "unknown";
}

// A request that was removed from a slot queue without running.
struct slot_refusal {
  ticket id;
  slot_refusal_cause cause = slot_refusal_cause::kDeadline;

  friend bool operator==(const slot_refusal&, const slot_refusal&) = default;
};

}  // namespace cornelweir::admission

#endif  // CORNELWEIR_SRC_ADMISSION_SLOT_REFUSAL_H_
