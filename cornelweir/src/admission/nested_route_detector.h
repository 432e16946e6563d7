#ifndef CORNELWEIR_SRC_ADMISSION_NESTED_ROUTE_DETECTOR_H_
#define CORNELWEIR_SRC_ADMISSION_NESTED_ROUTE_DETECTOR_H_

#include <cstdint>
#include <map>
#include <set>

#include "cornelweir/src/kernel/ids.h"

namespace cornelweir::admission {

// Detects nested routes: those that upstreams call while they run a request, as opposed to those
// that external callers use. A request carries no such mark. External callers are spread over the
// hosts of all services, though, while a nested route is called only from the hosts of the few
// services whose requests need it.
class nested_route_detector {
 public:
  // Records a request and returns whether its route is classified as nested. caller is the service
  // on the host from which the request was sent.
  bool Observe(const kernel::route_name& route, const kernel::service_name& caller);

 private:
  struct route_record {
    std::uint64_t requests = 0;
    // The number of the latest request from the hosts of each service.
    std::map<kernel::service_name, std::uint64_t> latest_by_caller;
  };

  std::map<kernel::route_name, route_record> routes_;
  std::set<kernel::service_name> callers_;
};

}  // namespace cornelweir::admission

#endif  // CORNELWEIR_SRC_ADMISSION_NESTED_ROUTE_DETECTOR_H_
