#include "cornelweir/src/policy/policy_change.h"

#include <algorithm>
#include <cstddef>
#include <cstdio>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

#include "cornelweir/src/policy/policy_report.h"

namespace cornelweir::policy {
namespace {

constexpr double kPercent = 100;

using member_list = std::vector<std::pair<std::string_view, std::string>>;

std::string Decimal(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.6g", value);
  return text;
}

std::string Text(kernel::milliseconds duration) { return std::to_string(duration.count()) + "ms"; }
std::string Text(bool value) { return value ? "yes" : "no"; }

std::string Text(retry_safety value) {
  switch (value) {
    case retry_safety::kIdempotent:
      return "idempotent";
    case retry_safety::kNonIdempotent:
      return "not idempotent";
    case retry_safety::kDownload:
      return "download";
    case retry_safety::kUpload:
      return "upload";
  }
  return "unknown";
}

std::string_view ViewOf(const service& entry) { return entry.name.value(); }

std::string Destination(const route& entry) {
  if (entry.split.empty()) return entry.service.value();
  double sum = 0;
  for (const split_part& part : entry.split) sum += static_cast<double>(part.weight.value());
  std::string text;
  for (const split_part& part : entry.split) {
    if (!text.empty()) text += ", ";
    const double share = sum > 0 ? kPercent * static_cast<double>(part.weight.value()) / sum : 0;
    text += part.service.value() + " " + Decimal(share) + "%";
  }
  return text;
}

member_list Members(const route& entry) {
  return {{"name", entry.name.value()},
          {"retry safety", Text(entry.retry_safety)},
          {"timeout", Text(entry.timeout)},
          {"latency objective", Text(entry.latency_objective)},
          {"priority", std::to_string(entry.priority)},
          {"attempts", std::to_string(entry.attempts)},
          {"destination", Destination(entry)},
          {"public", Text(entry.public_access)}};
}

member_list Members(const service& entry) {
  return {{"health path", entry.health_path},
          {"max connections", std::to_string(entry.max_connections)},
          {"protocol", entry.protocol},
          {"tls", Text(entry.tls)}};
}

member_list Members(const caller_limits& limits) {
  return {{"max header bytes", std::to_string(limits.max_header_bytes)},
          {"max body bytes", std::to_string(limits.max_body_bytes)},
          {"header timeout", Text(limits.header_timeout)},
          {"idle timeout", Text(limits.idle_timeout)}};
}

member_list Members(const workspace& entry) {
  return {{"priority", entry.priority ? std::to_string(*entry.priority) : "of the route"},
          {"rate",
           entry.HasQuota() ? Decimal(kernel::RequestsPerSecond(*entry.rate)) + "/s" : "no limit"},
          {"burst", entry.burst ? Decimal(kernel::Requests(*entry.burst)) : "none"}};
}

// Keys are compared here and not by Members(), whose texts are printed.
template <class Element>
void CompareOthers(const Element&, const Element&, std::vector<policy_change>&) {}

void CompareOthers(const workspace& from, const workspace& to,
                   std::vector<policy_change>& changes) {
  if (from.keys == to.keys) return;
  std::set<std::string_view> before;
  for (const kernel::api_key& key : from.keys) before.insert(key.value());
  std::size_t added = 0;
  for (const kernel::api_key& key : to.keys) added += before.erase(key.value()) == 0 ? 1 : 0;
  changes.push_back({change_kind::kChanged, PlaceOf(to), "keys", std::to_string(from.keys.size()),
                     std::to_string(to.keys.size()) + " (" + std::to_string(added) + " added, " +
                         std::to_string(before.size()) + " removed)"});
}

void CompareMembers(const std::string& place, const member_list& from, const member_list& to,
                    std::vector<policy_change>& changes) {
  for (std::size_t i = 0; i < from.size(); ++i) {
    if (from[i].second == to[i].second) continue;
    changes.push_back(
        {change_kind::kChanged, place, std::string(from[i].first), from[i].second, to[i].second});
  }
}

template <class Element>
void CompareLists(const std::vector<Element>& from, const std::vector<Element>& to,
                  std::vector<policy_change>& changes) {
  using key = decltype(ViewOf(std::declval<const Element&>()));
  std::map<key, const Element*> before;
  std::set<key> after;
  for (const Element& element : from) before.emplace(ViewOf(element), &element);
  for (const Element& element : to) after.insert(ViewOf(element));
  for (const Element& element : from) {
    if (after.contains(ViewOf(element))) continue;
    changes.push_back({change_kind::kRemoved, PlaceOf(element), "", "", ""});
  }
  for (const Element& element : to) {
    const auto found = before.find(ViewOf(element));
    if (found == before.end()) {
      changes.push_back({change_kind::kAdded, PlaceOf(element), "", "", ""});
    } else if (*found->second != element) {
      CompareMembers(PlaceOf(element), Members(*found->second), Members(element), changes);
      CompareOthers(*found->second, element, changes);
    }
  }
}

}  // namespace

change_counts CountByKind(const std::vector<policy_change>& changes) {
  change_counts counts;
  for (const policy_change& change : changes) {
    switch (change.kind) {
      case change_kind::kAdded:
        ++counts.added;
        break;
      case change_kind::kRemoved:
        ++counts.removed;
        break;
      case change_kind::kChanged:
        ++counts.changed;
        break;
    }
  }
  return counts;
}

std::vector<policy_change> Compare(const policy_table& from, const policy_table& to) {
  std::vector<policy_change> changes;
  CompareLists(from.services, to.services, changes);
  if (from.limits != to.limits) {
    CompareMembers("limits", Members(from.limits), Members(to.limits), changes);
  }
  CompareLists(from.workspaces, to.workspaces, changes);
  CompareLists(from.routes, to.routes, changes);
  return changes;
}

}  // namespace cornelweir::policy
