#ifndef CORNELWEIR_SRC_PROTOCOL_CURRENCY_REPORT_H_
#define CORNELWEIR_SRC_PROTOCOL_CURRENCY_REPORT_H_

#include <optional>
#include <tuple>

#include "cornelweir/kernel.h"
#include "cornelweir/src/protocol/currency_state.h"

namespace cornelweir::protocol {

// Why a control host is not current, for the logs of its daemons.
struct currency_report {
  currency_state state = currency_state::kCurrent;
  // The time since the host learned of a new round that a majority confirmed. Empty if it has
  // learned of none.
  std::optional<kernel::milliseconds> confirmed_age;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"state", &currency_report::state},
                      kernel::field{"confirmed_age", &currency_report::confirmed_age}};
  }
  friend bool operator==(const currency_report&, const currency_report&) = default;
};

}  // namespace cornelweir::protocol

#endif  // CORNELWEIR_SRC_PROTOCOL_CURRENCY_REPORT_H_
