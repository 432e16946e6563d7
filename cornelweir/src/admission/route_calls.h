#ifndef CORNELWEIR_SRC_ADMISSION_ROUTE_CALLS_H_
#define CORNELWEIR_SRC_ADMISSION_ROUTE_CALLS_H_

#include <cmath>
#include <concepts>
#include <cstdint>
#include <map>
#include <vector>

#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::admission {

// Returns the time that a call to a service would wait for a slot there.
template <class T>
concept service_wait_source = requires(T& source, const kernel::service_name& service) {
  { source(service) } -> std::convertible_to<kernel::microseconds>;
};

// Learns which services the runs of each route call. A call does not tell which run made it, so it
// counts in equal parts for all runs in progress.
class route_calls {
 public:
  void OnRunEnded(const kernel::route_name& route);
  // running has the route of each run in progress that may have made the call.
  void OnCall(const kernel::service_name& service, const std::vector<kernel::route_name>& running);

  // The time that a run of the route can expect to wait for the slots of its calls.
  template <service_wait_source Source>
  kernel::microseconds ExpectedWait(const kernel::route_name& route, Source&& wait_of) const {
    const auto found = routes_.find(route);
    if (found == routes_.end() || found->second.runs < kMinRuns) return {};
    double sum = 0;
    for (const auto& [service, calls] : found->second.calls) {
      const kernel::microseconds wait = wait_of(service);
      sum += calls / found->second.runs * static_cast<double>(wait.count());
    }
    return kernel::microseconds(std::llround(sum));
  }

  // Calls function with the name of each route whose runs call others.
  template <std::invocable<const kernel::route_name&> Function>
  void ForEachCallingRoute(Function&& function) const {
    for (const auto& [route, record] : routes_) {
      if (!record.calls.empty()) function(route);
    }
  }

 private:
  struct route_record {
    double runs = 0;
    std::map<kernel::service_name, double> calls;
  };

  // Runs of a route that are needed to judge it, and the number beyond which older ones count half.
  static constexpr double kMinRuns = 16;
  static constexpr double kMaxRuns = 256;

  std::map<kernel::route_name, route_record> routes_;
};

}  // namespace cornelweir::admission

#endif  // CORNELWEIR_SRC_ADMISSION_ROUTE_CALLS_H_
