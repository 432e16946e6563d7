#ifndef CORNELWEIR_SRC_ROUTING_UPSTREAM_CANDIDATE_H_
#define CORNELWEIR_SRC_ROUTING_UPSTREAM_CANDIDATE_H_

#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::routing {

// An announced upstream, as the balancer needs it.
struct upstream_candidate {
  kernel::upstream_id id;
  kernel::service_name service;
  kernel::subset_name subset;
  kernel::failure_domain domain;
  kernel::request_count slots;
  kernel::incarnation incarnation;
  bool draining = false;
  // The endpoint at which the upstream's daemon accepts requests.
  kernel::endpoint daemon;
};

}  // namespace cornelweir::routing

#endif  // CORNELWEIR_SRC_ROUTING_UPSTREAM_CANDIDATE_H_
