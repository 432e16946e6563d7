#include "cornelweir/src/protocol/currency_state.h"

namespace cornelweir::protocol {

std::string_view CurrencyStateName(currency_state state) {
  switch (state) {
    case currency_state::kCurrent:
      return "current";
    case currency_state::kStorageFailing:
      return "storage-failing";
    case currency_state::kNoLeader:
      return "no-leader";
    case currency_state::kNotConfirmed:
      return "not-confirmed";
    case currency_state::kEntriesNotApplied:
      return "entries-not-applied";
    case currency_state::kNoPolicy:
      return "no-policy";
    case currency_state::kReadNotProved:
      return "read-not-proved";
  }
  return "unknown";
}

// A host that lost its leader or its storage a moment ago stays current until its last confirmed
// round is too old: the round proves its state, and most leaders are replaced within the limit.
currency_state DecideCurrency(const currency_facts& facts,
                              kernel::microseconds max_confirmation_age) {
  const bool is_confirmed = facts.confirmed_age && *facts.confirmed_age < max_confirmation_age;
  if (is_confirmed && facts.has_applied_all && facts.has_policy) {
    return facts.is_read_proved ? currency_state::kCurrent : currency_state::kReadNotProved;
  }
  if (!facts.is_storage_healthy) return currency_state::kStorageFailing;
  if (!facts.knows_leader) return currency_state::kNoLeader;
  if (!is_confirmed) return currency_state::kNotConfirmed;
  return facts.has_applied_all ? currency_state::kNoPolicy : currency_state::kEntriesNotApplied;
}

}  // namespace cornelweir::protocol
