#include "cornelweir/src/policy/policy_report.h"

#include <map>
#include <set>
#include <string_view>
#include <utility>

#include "cornelweir/src/policy/host_key.h"
#include "cornelweir/src/policy/limits.h"

namespace cornelweir::policy {
namespace {

void Warn(std::vector<finding>& warnings, std::string place, std::string message) {
  if (warnings.size() >= kMaxFindings) return;
  warnings.push_back({severity::kWarning, std::move(place), std::move(message)});
}

std::string Milliseconds(kernel::milliseconds duration) {
  return std::to_string(duration.count()) + " ms";
}

// Hosts that differ only in case or port are the same host for a request. The first route wins.
void FindHiddenRoutes(const policy_table& table, std::vector<finding>& warnings) {
  std::map<std::pair<std::string, std::string_view>, const route*> first;
  for (const route& entry : table.routes) {
    const std::string_view prefix = entry.path_prefix;
    const auto [found, added] = first.emplace(std::pair(HostKey(entry.host), prefix), &entry);
    // The same host and prefix is an error already.
    if (added || found->second->host == entry.host) continue;
    Warn(warnings, PlaceOf(entry), "never matches, as " + PlaceOf(*found->second) + " comes first");
  }
}

void FindTimeContradictions(const route& entry, std::vector<finding>& warnings) {
  const kernel::milliseconds objective = entry.latency_objective;
  if (objective > entry.timeout) {
    Warn(warnings, PlaceOf(entry),
         "the latency objective of " + Milliseconds(objective) + " is beyond the timeout of " +
             Milliseconds(entry.timeout));
    return;
  }
  // Divides, as the product may overflow.
  if (entry.attempts > 1 && objective.count() > 0 &&
      entry.attempts - 1 >= (entry.timeout + objective - kernel::milliseconds(1)) / objective) {
    Warn(warnings, PlaceOf(entry),
         std::to_string(entry.attempts) + " attempts can't fit: if each takes its objective of " +
             Milliseconds(objective) + ", the last begins after the timeout of " +
             Milliseconds(entry.timeout));
  }
}

void FindUnusedServices(const policy_table& table, std::vector<finding>& warnings) {
  std::set<std::string_view> used;
  for (const route& entry : table.routes) {
    used.insert(entry.service.value());
    for (const split_part& part : entry.split) used.insert(part.service.value());
  }
  for (const service& entry : table.services) {
    if (used.contains(entry.name.value())) continue;
    Warn(warnings, PlaceOf(entry), "no route names it");
  }
}

void FindWorkspaceContradictions(const workspace& entry, std::vector<finding>& warnings) {
  if (entry.keys.empty()) {
    Warn(warnings, PlaceOf(entry), "has no keys, so no request belongs to it");
  }
  if (!entry.burst) return;
  if (!entry.HasQuota()) {
    Warn(warnings, PlaceOf(entry), "the burst has no effect without a rate");
  } else if (kernel::Requests(*entry.burst) < 1) {
    Warn(warnings, PlaceOf(entry), "the burst is below one request; one is used");
  }
}

}  // namespace

std::string PlaceOf(const service& entry) { return "service " + entry.name.value(); }

std::string PlaceOf(const route& entry) {
  return "route " + entry.name.value() + " (" + entry.host + entry.path_prefix + ")";
}

std::string PlaceOf(const workspace& entry) { return "workspace " + entry.name.value(); }

std::vector<finding> FindWarnings(const policy_table& table) {
  std::vector<finding> warnings;
  FindUnusedServices(table, warnings);
  for (const workspace& entry : table.workspaces) FindWorkspaceContradictions(entry, warnings);
  FindHiddenRoutes(table, warnings);
  for (const route& entry : table.routes) {
    FindTimeContradictions(entry, warnings);
    for (const split_part& part : entry.split) {
      if (part.weight.value() != 0) continue;
      Warn(warnings, PlaceOf(entry),
           "service '" + part.service.value() + "' has weight 0, so it gets no requests");
    }
  }
  return warnings;
}

}  // namespace cornelweir::policy
