#ifndef CORNELWEIR_DISTRIBUTION_H_
#define CORNELWEIR_DISTRIBUTION_H_

// Distribution of accepted versions and members from control hosts to daemons: messages, publisher,
// relay and subscriber.

#include "cornelweir/src/distribution/ids.h"
#include "cornelweir/src/distribution/limits.h"
#include "cornelweir/src/distribution/messages.h"
#include "cornelweir/src/distribution/publisher.h"
#include "cornelweir/src/distribution/reconnect_policy.h"
#include "cornelweir/src/distribution/relay.h"
#include "cornelweir/src/distribution/relay_tree.h"
#include "cornelweir/src/distribution/scope_history.h"
#include "cornelweir/src/distribution/service_progress.h"
#include "cornelweir/src/distribution/subscriber.h"
#include "cornelweir/src/distribution/subscriber_actions.h"

#endif  // CORNELWEIR_DISTRIBUTION_H_
