#ifndef CORNELWEIR_CONTROL_H_
#define CORNELWEIR_CONTROL_H_

// The replicated state machine: the draft, accepted versions, members, claims, quarantine, policy
// and rollouts.

#include "cornelweir/src/control/change_outcomes.h"
#include "cornelweir/src/control/commands.h"
#include "cornelweir/src/control/draft.h"
#include "cornelweir/src/control/limits.h"
#include "cornelweir/src/control/outcomes.h"
#include "cornelweir/src/control/policy_store.h"
#include "cornelweir/src/control/rollout_store.h"
#include "cornelweir/src/control/state_machine.h"
#include "cornelweir/src/control/version_history.h"

#endif  // CORNELWEIR_CONTROL_H_
