#ifndef CORNELWEIR_ROUTING_H_
#define CORNELWEIR_ROUTING_H_

// Route lookup by path, and load balancing among the upstreams of a service.

#include "cornelweir/src/routing/balancer.h"
#include "cornelweir/src/routing/finish_kind.h"
#include "cornelweir/src/routing/limits.h"
#include "cornelweir/src/routing/link_load.h"
#include "cornelweir/src/routing/peer_choice.h"
#include "cornelweir/src/routing/recent_wait.h"
#include "cornelweir/src/routing/route_index.h"
#include "cornelweir/src/routing/route_match.h"
#include "cornelweir/src/routing/upstream_candidate.h"
#include "cornelweir/src/routing/weighted_round_robin.h"

#endif  // CORNELWEIR_ROUTING_H_
