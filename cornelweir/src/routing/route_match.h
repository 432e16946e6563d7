#ifndef CORNELWEIR_SRC_ROUTING_ROUTE_MATCH_H_
#define CORNELWEIR_SRC_ROUTING_ROUTE_MATCH_H_

#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/table/rows.h"

namespace cornelweir::routing {

// The route that matches a path, with the limits and wait times of its service.
struct route_match {
  kernel::route_name name;
  table::route_row route;
  table::limit_row limit;
  table::wait_row wait;
};

}  // namespace cornelweir::routing

#endif  // CORNELWEIR_SRC_ROUTING_ROUTE_MATCH_H_
