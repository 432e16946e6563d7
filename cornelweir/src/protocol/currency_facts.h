#ifndef CORNELWEIR_SRC_PROTOCOL_CURRENCY_FACTS_H_
#define CORNELWEIR_SRC_PROTOCOL_CURRENCY_FACTS_H_

#include <optional>

#include "cornelweir/kernel.h"

namespace cornelweir::protocol {

// What decides whether a control host is current, and why it is not.
struct currency_facts {
  // Whether the state machine holds an accepted policy.
  bool has_policy = false;
  bool is_storage_healthy = true;
  // Whether the node of the replicated log knows a leader, this host or another one.
  bool knows_leader = false;
  // Whether all entries that this host knows to be committed are applied.
  bool has_applied_all = false;
  // The time since this host learned of a new round that a majority confirmed. Empty if it has
  // learned of none since its node was built.
  std::optional<kernel::microseconds> confirmed_age;
  // Whether this host has proved to the recipient that it had applied all committed entries. True
  // if the question is not asked for a recipient.
  bool is_read_proved = true;
};

}  // namespace cornelweir::protocol

#endif  // CORNELWEIR_SRC_PROTOCOL_CURRENCY_FACTS_H_
