#ifndef CORNELWEIR_ROUTING_H_
#define CORNELWEIR_ROUTING_H_

// Which service a path belongs to and which upstream of a service gets a request.

#include "cornelweir/src/routing/balancer.h"
#include "cornelweir/src/routing/finish_kind.h"
#include "cornelweir/src/routing/limits.h"
#include "cornelweir/src/routing/peer_choice.h"
#include "cornelweir/src/routing/route_index.h"
#include "cornelweir/src/routing/route_match.h"
#include "cornelweir/src/routing/upstream_candidate.h"
#include "cornelweir/src/routing/weighted_round_robin.h"

#endif  // CORNELWEIR_ROUTING_H_
