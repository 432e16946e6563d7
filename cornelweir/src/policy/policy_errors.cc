// The errors for which a policy is refused.

#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <utility>

#include "cornelweir/src/policy/limits.h"
#include "cornelweir/src/policy/policy_report.h"

namespace cornelweir::policy {
namespace {

// Collects errors, each with the part of the policy that it is about.
class error_list {
 public:
  void Check(bool is_valid, std::string_view place, std::string_view message) {
    if (!is_valid) Add(std::string(place), std::string(message));
  }
  // Describes the place only if there is an error, since most entries have none.
  template <class Entry>
  void Check(bool is_valid, const Entry& entry, std::string_view message) requires requires {
    PlaceOf(entry);
  }
  {
    if (!is_valid) Add(PlaceOf(entry), std::string(message));
  }
  void Add(std::string place, std::string message) {
    if (errors_.size() >= kMaxFindings) return;
    errors_.push_back({severity::kError, std::move(place), std::move(message)});
  }
  std::vector<finding> Take() { return std::move(errors_); }

 private:
  std::vector<finding> errors_;
};

bool IsValidPathPrefix(const std::string& path) {
  return !path.empty() && path.front() == '/' && path.back() == '/';
}

void CheckService(const kernel::service_name& name, const std::set<kernel::service_name>& services,
                  const route& entry, error_list& errors) {
  if (services.contains(name)) return;
  errors.Add(PlaceOf(entry), "unknown service '" + name.value() + "'");
}

void CheckDestination(const route& entry, const std::set<kernel::service_name>& services,
                      error_list& errors) {
  if (entry.split.empty()) return CheckService(entry.service, services, entry, errors);
  errors.Check(entry.service.value().empty(), entry, "has both a service and a split");
  errors.Check(entry.split.size() <= kMaxSplitParts, entry, "the split has too many parts");
  bool has_weight = false;
  for (const split_part& part : entry.split) {
    CheckService(part.service, services, entry, errors);
    errors.Check(part.weight.value() >= 0, entry, "a weight is negative");
    has_weight = has_weight || part.weight.value() > 0;
  }
  errors.Check(has_weight, entry, "the weights of the split sum to zero");
}

// The messages name workspaces, but never keys.
void CheckWorkspaces(const policy_table& table, error_list& errors) {
  errors.Check(table.workspaces.size() <= kMaxWorkspaces, "workspaces", "too many workspaces");
  std::set<std::string_view> names;
  std::map<std::string_view, const workspace*> holders;
  for (const workspace& entry : table.workspaces) {
    errors.Check(!entry.name.value().empty(), "workspaces", "a workspace has no name");
    errors.Check(names.insert(entry.name.value()).second, entry, "is listed twice");
    errors.Check(entry.keys.size() <= kMaxWorkspaceKeys, entry, "has too many keys");
    errors.Check(!entry.rate || entry.rate->value() >= 0, entry, "the rate is negative");
    errors.Check(!entry.burst || entry.burst->value() >= 0, entry, "the burst is negative");
    for (const kernel::api_key& key : entry.keys) {
      errors.Check(!key.value().empty() && key.value().size() <= kMaxKeyBytes, entry,
                   "a key is empty or too long");
      const auto [holder, added] = holders.emplace(key.value(), &entry);
      if (added) continue;
      errors.Add(PlaceOf(entry),
                 "a key is held by workspace '" + holder->second->name.value() + "' as well");
    }
  }
}

void CheckServices(const policy_table& table, std::set<kernel::service_name>& services,
                   error_list& errors) {
  errors.Check(table.services.size() <= kMaxServices, "services", "too many services");
  for (const service& entry : table.services) {
    errors.Check(!entry.name.value().empty(), "services", "a service has no name");
    if (services.insert(entry.name).second) continue;
    errors.Add("services", "service '" + entry.name.value() + "' is listed twice");
  }
}

}  // namespace

std::vector<finding> FindErrors(const policy_table& table) {
  error_list errors;
  errors.Check(table.version > kernel::policy_version(), "version", "must be above 0");
  errors.Check(table.routes.size() <= kMaxRoutes, "routes", "too many routes");
  std::set<kernel::service_name> services;
  CheckServices(table, services, errors);
  const caller_limits& limits = table.limits;
  errors.Check(limits.max_header_bytes > 0 && limits.max_body_bytes >= 0 &&
                   limits.header_timeout.count() > 0 && limits.idle_timeout.count() > 0,
               "limits", "must be positive");
  CheckWorkspaces(table, errors);
  std::set<route_key_view> keys;
  for (const route& entry : table.routes) {
    errors.Check(!entry.host.empty(), entry, "has no host");
    errors.Check(IsValidPathPrefix(entry.path_prefix), entry,
                 "the prefix must begin and end with '/'");
    errors.Check(keys.insert(ViewOf(entry)).second, entry,
                 "another route has the same host and prefix");
    errors.Check(entry.timeout.count() > 0 && entry.timeout <= kMaxTimeout, entry,
                 "the timeout must be above 0 and at most 10 minutes");
    errors.Check(entry.latency_objective.count() > 0 &&
                     !IsObjectiveTooLong(entry.latency_objective, entry.timeout),
                 entry, "the latency objective must be above 0 and near the timeout");
    errors.Check(entry.attempts >= 1, entry, "attempts must be at least 1");
    CheckDestination(entry, services, errors);
  }
  return errors.Take();
}

}  // namespace cornelweir::policy
