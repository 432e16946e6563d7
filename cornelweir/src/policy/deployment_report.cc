#include "cornelweir/src/policy/deployment_report.h"

#include <cstdio>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "cornelweir/src/policy/limits.h"

namespace cornelweir::policy {
namespace {

std::set<std::string_view> RoutedServices(const policy_table& table) {
  std::set<std::string_view> routed;
  for (const route& entry : table.routes) {
    if (entry.split.empty()) routed.insert(entry.service.value());
    for (const split_part& part : entry.split) {
      if (part.weight.value() > 0) routed.insert(part.service.value());
    }
  }
  return routed;
}

// What all services to which routes lead can run a second. Empty if it is not known of each of
// them. Quotas are of requests, so slots tell nothing without the time that a request takes.
std::optional<double> TotalRateLimit(const policy_table& table,
                                     const std::vector<service_state>& services) {
  std::map<std::string_view, const service_state*> known;
  for (const service_state& state : services) known.emplace(state.service.value(), &state);
  double sum = 0;
  for (const std::string_view service : RoutedServices(table)) {
    const auto found = known.find(service);
    if (found == known.end() || found->second->upstreams == 0 || !found->second->rate_limit) {
      return std::nullopt;
    }
    sum += kernel::RequestsPerSecond(*found->second->rate_limit);
  }
  return sum;
}

std::string PerSecond(double rate) {
  char text[32];
  std::snprintf(text, sizeof text, "%.6g/s", rate);
  return text;
}

}  // namespace

std::vector<finding> FindDeploymentWarnings(const policy_table& table,
                                            const std::vector<service_state>& services) {
  std::vector<finding> warnings;
  double quotas = 0;
  for (const workspace& entry : table.workspaces) {
    if (entry.HasQuota()) quotas += kernel::RequestsPerSecond(*entry.rate);
  }
  const std::optional<double> capacity = TotalRateLimit(table, services);
  if (capacity && quotas > *capacity) {
    warnings.push_back({severity::kWarning, "workspaces",
                        "their rates sum to " + PerSecond(quotas) +
                            ", but the upstreams of the routed services take at most " +
                            PerSecond(*capacity)});
  }
  for (const service_state& state : services) {
    if (warnings.size() >= kMaxFindings) break;
    if (!state.rollout || state.rollout->upstreams > 0) continue;
    warnings.push_back({severity::kWarning, "service " + state.service.value(),
                        "a rollout to version '" + state.rollout->version.value() +
                            "' is running, but no upstream of that version takes requests"});
  }
  return warnings;
}

}  // namespace cornelweir::policy
