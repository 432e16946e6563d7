#include "cornelweir/src/policy/validate.h"

#include <cstdint>
#include <set>

#include "cornelweir/src/policy/limits.h"

namespace cornelweir::policy {
namespace {

// Collects faults, each with the place to which it belongs.
class fault_list {
 public:
  void Check(bool holds, const std::string& place, const std::string& reason) {
    if (!holds) faults_.push_back(place + ": " + reason);
  }
  std::vector<std::string> Take() { return std::move(faults_); }

 private:
  std::vector<std::string> faults_;
};

bool IsPrefix(const std::string& path) {
  return !path.empty() && path.front() == '/' && path.back() == '/';
}

void CheckDestination(const route& checked, const std::set<kernel::service_name>& services,
                      const std::string& place, fault_list& faults) {
  if (checked.split.empty()) {
    faults.Check(services.contains(checked.service), place,
                 "unknown service '" + checked.service.value() + "'");
    return;
  }
  faults.Check(checked.service.value().empty(), place, "has both a service and a split");
  faults.Check(checked.split.size() <= kMaxSplitParts, place, "the split has too many parts");
  std::int64_t sum = 0;
  for (const split_part& part : checked.split) {
    faults.Check(services.contains(part.service), place,
                 "unknown service '" + part.service.value() + "' in the split");
    faults.Check(part.weight.value() >= 0, place, "a weight is negative");
    sum += part.weight.value();
  }
  faults.Check(sum > 0, place, "the weights of the split sum to zero");
}

}  // namespace

std::vector<std::string> Validate(const policy_table& table) {
  fault_list faults;
  faults.Check(table.version > kernel::policy_version(), "version", "must be above 0");
  faults.Check(table.routes.size() <= kMaxRoutes, "routes", "too many routes");
  faults.Check(table.services.size() <= kMaxServices, "services", "too many services");
  std::set<kernel::service_name> services;
  for (const service& listed : table.services) {
    faults.Check(!listed.name.value().empty(), "services", "a service has no name");
    faults.Check(services.insert(listed.name).second, "services",
                 "service '" + listed.name.value() + "' is listed twice");
  }
  const caller_limits& limits = table.limits;
  faults.Check(limits.max_header_bytes > 0 && limits.max_body_bytes >= 0 &&
                   limits.header_timeout.count() > 0 && limits.idle_timeout.count() > 0,
               "limits", "must be positive");
  std::set<route_key> keys;
  for (const route& checked : table.routes) {
    const std::string place = "route " + checked.name.value();
    faults.Check(!checked.host.empty(), place, "has no host");
    faults.Check(IsPrefix(checked.path_prefix), place, "the prefix must begin and end with '/'");
    faults.Check(keys.insert(KeyOf(checked)).second, place,
                 "another route has the same host and prefix");
    faults.Check(checked.timeout.count() > 0 && checked.timeout <= kMaxTimeout, place,
                 "the timeout must be above 0 and at most 10 minutes");
    faults.Check(checked.latency_objective.count() > 0 &&
                     checked.latency_objective < checked.timeout + kMaxObjectiveExcess,
                 place, "the latency objective must be above 0 and near the timeout");
    faults.Check(checked.attempts >= 1, place, "attempts must be at least 1");
    CheckDestination(checked, services, place, faults);
  }
  return faults.Take();
}

}  // namespace cornelweir::policy
