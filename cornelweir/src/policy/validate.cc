#include "cornelweir/src/policy/validate.h"

#include <cstdint>
#include <map>
#include <set>
#include <string_view>

#include "cornelweir/src/policy/limits.h"

namespace cornelweir::policy {
namespace {

// Collects error messages, each with the part of the policy that it is about.
class error_list {
 public:
  void Check(bool is_valid, const std::string& location, const std::string& message) {
    if (!is_valid) errors_.push_back(location + ": " + message);
  }
  std::vector<std::string> Take() { return std::move(errors_); }

 private:
  std::vector<std::string> errors_;
};

bool IsValidPathPrefix(const std::string& path) {
  return !path.empty() && path.front() == '/' && path.back() == '/';
}

void CheckDestination(const route& entry, const std::set<kernel::service_name>& services,
                      const std::string& location, error_list& errors) {
  if (entry.split.empty()) {
    errors.Check(services.contains(entry.service), location,
                 "unknown service '" + entry.service.value() + "'");
    return;
  }
  errors.Check(entry.service.value().empty(), location, "has both a service and a split");
  errors.Check(entry.split.size() <= kMaxSplitParts, location, "the split has too many parts");
  std::int64_t sum = 0;
  for (const split_part& part : entry.split) {
    errors.Check(services.contains(part.service), location,
                 "unknown service '" + part.service.value() + "' in the split");
    errors.Check(part.weight.value() >= 0, location, "a weight is negative");
    sum += part.weight.value();
  }
  errors.Check(sum > 0, location, "the weights of the split sum to zero");
}

// The messages name workspaces, but never keys.
void CheckWorkspaces(const policy_table& table, error_list& errors) {
  errors.Check(table.workspaces.size() <= kMaxWorkspaces, "workspaces", "too many workspaces");
  std::set<std::string_view> names;
  std::map<std::string_view, const workspace*> holders;
  for (const workspace& entry : table.workspaces) {
    const std::string location = "workspace " + entry.name.value();
    errors.Check(!entry.name.value().empty(), "workspaces", "a workspace has no name");
    errors.Check(names.insert(entry.name.value()).second, location, "is listed twice");
    errors.Check(entry.keys.size() <= kMaxWorkspaceKeys, location, "has too many keys");
    errors.Check(!entry.rate || entry.rate->value() >= 0, location, "the rate is negative");
    errors.Check(!entry.burst || entry.burst->value() >= 0, location, "the burst is negative");
    for (const kernel::api_key& key : entry.keys) {
      errors.Check(!key.value().empty() && key.value().size() <= kMaxKeyBytes, location,
                   "a key is empty or too long");
      const auto [holder, added] = holders.emplace(key.value(), &entry);
      errors.Check(added, location,
                   "a key is held by workspace '" + holder->second->name.value() + "' as well");
    }
  }
}

}  // namespace

std::vector<std::string> Validate(const policy_table& table) {
  error_list errors;
  errors.Check(table.version > kernel::policy_version(), "version", "must be above 0");
  errors.Check(table.routes.size() <= kMaxRoutes, "routes", "too many routes");
  errors.Check(table.services.size() <= kMaxServices, "services", "too many services");
  std::set<kernel::service_name> services;
  for (const service& entry : table.services) {
    errors.Check(!entry.name.value().empty(), "services", "a service has no name");
    errors.Check(services.insert(entry.name).second, "services",
                 "service '" + entry.name.value() + "' is listed twice");
  }
  const caller_limits& limits = table.limits;
  errors.Check(limits.max_header_bytes > 0 && limits.max_body_bytes >= 0 &&
                   limits.header_timeout.count() > 0 && limits.idle_timeout.count() > 0,
               "limits", "must be positive");
  CheckWorkspaces(table, errors);
  std::set<route_key> keys;
  for (const route& entry : table.routes) {
    const std::string location = "route " + entry.name.value();
    errors.Check(!entry.host.empty(), location, "has no host");
    errors.Check(IsValidPathPrefix(entry.path_prefix), location,
                 "the prefix must begin and end with '/'");
    errors.Check(keys.insert(KeyOf(entry)).second, location,
                 "another route has the same host and prefix");
    errors.Check(entry.timeout.count() > 0 && entry.timeout <= kMaxTimeout, location,
                 "the timeout must be above 0 and at most 10 minutes");
    errors.Check(entry.latency_objective.count() > 0 &&
                     entry.latency_objective < entry.timeout + kMaxObjectiveExcess,
                 location, "the latency objective must be above 0 and near the timeout");
    errors.Check(entry.attempts >= 1, location, "attempts must be at least 1");
    CheckDestination(entry, services, location, errors);
  }
  return errors.Take();
}

}  // namespace cornelweir::policy
