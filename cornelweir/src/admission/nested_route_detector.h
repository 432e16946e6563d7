#ifndef CORNELWEIR_SRC_ADMISSION_NESTED_ROUTE_DETECTOR_H_
#define CORNELWEIR_SRC_ADMISSION_NESTED_ROUTE_DETECTOR_H_

#include <cstdint>
#include <map>
#include <set>

#include "cornelweir/src/kernel/ids.h"

namespace cornelweir::admission {

// Tells routes that upstreams call while they run a request from those that callers use. Nothing in
// a request says so, but callers are spread over the hosts of all services, while a nested route is
// called only beside the few services whose requests need it.
class nested_route_detector {
 public:
  // Takes note of a request and returns whether its route counts as nested.
  bool Observe(const kernel::route_name& route, const kernel::service_name& caller);

 private:
  struct record {
    std::uint64_t requests = 0;
    // The number of the latest request from beside each service.
    std::map<kernel::service_name, std::uint64_t> callers;
  };

  std::map<kernel::route_name, record> routes_;
  std::set<kernel::service_name> callers_;
};

}  // namespace cornelweir::admission

#endif  // CORNELWEIR_SRC_ADMISSION_NESTED_ROUTE_DETECTOR_H_
