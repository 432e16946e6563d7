#include "cornelweir/src/admission/route_calls.h"

namespace cornelweir::admission {

void route_calls::OnRunEnded(const kernel::route_name& route) {
  route_record& record = routes_[route];
  if (++record.runs < kMaxRuns) return;
  record.runs /= 2;
  for (auto& [service, calls] : record.calls) calls /= 2;
}

void route_calls::OnCall(const kernel::service_name& service,
                         const std::vector<kernel::route_name>& running) {
  for (const kernel::route_name& route : running) {
    routes_[route].calls[service] += 1 / static_cast<double>(running.size());
  }
}

}  // namespace cornelweir::admission
