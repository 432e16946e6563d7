#ifndef CORNELWEIR_SRC_PROTOCOL_CURRENCY_STATE_H_
#define CORNELWEIR_SRC_PROTOCOL_CURRENCY_STATE_H_

#include <array>
#include <cstdint>
#include <string_view>

#include "cornelweir/src/protocol/currency_facts.h"

namespace cornelweir::protocol {

// Whether a control host may tell daemons that its policy is the newest, or the reason why not.
// Travels as a number, so values are never used again for another reason.
enum class currency_state : std::uint8_t {
  kCurrent = 0,
  kStorageFailing = 1,
  kNoLeader = 2,
  // The host follows or is a leader, but no round was confirmed by a majority within the limit.
  kNotConfirmed = 3,
  kEntriesNotApplied = 4,
  // The group has accepted no policy yet.
  kNoPolicy = 5,
  // The host is current, but a read for this daemon has not proved it yet.
  kReadNotProved = 6,
};

inline constexpr std::array kCurrencyStates{
    currency_state::kCurrent,       currency_state::kStorageFailing,    currency_state::kNoLeader,
    currency_state::kNotConfirmed,  currency_state::kEntriesNotApplied, currency_state::kNoPolicy,
    currency_state::kReadNotProved,
};

// Returns the name for log lines, status and metrics, or "unknown" for a number that a later
// version sent.
std::string_view CurrencyStateName(currency_state state);

// Decides on a host whose last confirmed round must be younger than the limit. If several facts
// speak against it, the result is the one that keeps the others from changing: without storage a
// host follows no leader, without a leader no round is confirmed, and so on.
currency_state DecideCurrency(const currency_facts& facts,
                              kernel::microseconds max_confirmation_age);

}  // namespace cornelweir::protocol

#endif  // CORNELWEIR_SRC_PROTOCOL_CURRENCY_STATE_H_
