#ifndef CORNELWEIR_SRC_MEMBERSHIP_ANNOUNCE_RESULT_H_
#define CORNELWEIR_SRC_MEMBERSHIP_ANNOUNCE_RESULT_H_

#include <cstdint>
#include <tuple>

#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"

namespace cornelweir::membership {

enum class announce_outcome : std::uint8_t {
  kAccepted,
  kUnchanged,
  // The incarnation is too old, or the state is an earlier one of the same incarnation.
  kRefused,
  kInvalid,
  // The table already holds kMaxMembers members.
  kFull,
};

// The outcome of an announcement.
struct announce_result {
  announce_outcome outcome = announce_outcome::kInvalid;
  // For kRefused: the smallest incarnation that would be accepted.
  kernel::incarnation needed;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"outcome", &announce_result::outcome},
                      kernel::field{"needed", &announce_result::needed}};
  }
  friend bool operator==(const announce_result&, const announce_result&) = default;
};

}  // namespace cornelweir::membership

#endif  // CORNELWEIR_SRC_MEMBERSHIP_ANNOUNCE_RESULT_H_
