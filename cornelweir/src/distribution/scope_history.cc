#include "cornelweir/src/distribution/scope_history.h"

#include <algorithm>
#include <utility>

#include "cornelweir/src/distribution/limits.h"

namespace cornelweir::distribution {

std::set<kernel::service_name> ServicesIn(const table::row_map& rows,
                                          const kernel::service_name& service) {
  std::set<kernel::service_name> services{service};
  const auto* own = table::FindRow<table::service_row>(rows, table::KeyOf(service));
  if (own != nullptr) services.insert(own->calls.begin(), own->calls.end());
  return services;
}

bool scope_history::Advance(kernel::table_version version, const table::row_map& rows) {
  if (version <= version_) return false;
  version_step added{version_, version, {}};
  for (const table::row_change& change : table::DeltaBetween(rows_, rows)) {
    added.changed.push_back(change.key);
  }
  const bool changed = !added.changed.empty();
  if (changed) {
    rows_ = rows;
    changed_version_ = version;
    std::set<kernel::service_name> services = ServicesIn(rows_, service_);
    if (!std::includes(services_.begin(), services_.end(), services.begin(), services.end())) {
      services_version_ = version;
    }
    services_ = std::move(services);
  }
  AppendStep(std::move(added));
  return changed;
}

void scope_history::AdvanceUnchanged(kernel::table_version version) {
  if (version > version_) AppendStep(version_step{version_, version, {}});
}

bool scope_history::MayBeAffectedBy(const table::row_change& change) const {
  const table::row_key& key = change.key;
  if (rows_.contains(key)) return true;
  switch (key.kind) {
    case table::row_kind::kService:
      return services_.contains(kernel::service_name(key.name));
    case table::row_kind::kSplit:
      return services_.contains(table::SplitService(key));
    case table::row_kind::kRoute:
      return change.content &&
             services_.contains(std::get<table::route_row>(*change.content).service);
    default:
      // A limit or wait that is not in the scope yet enters it only if a service refers to it.
      return std::any_of(services_.begin(), services_.end(), [&](const auto& name) {
        const auto* row = table::FindRow<table::service_row>(rows_, table::KeyOf(name));
        return row != nullptr &&
               (table::KeyOf(row->limit) == key || table::KeyOf(row->wait) == key);
      });
  }
}

std::optional<std::vector<table::row_change>> scope_history::ChangesSince(
    kernel::table_version base_version) const {
  if (base_version < oldest_base_ || base_version > version_) return std::nullopt;
  // Steps are ordered by version. The first one that ends after `base_version` may skip it.
  const auto first = std::upper_bound(
      history_.begin(), history_.end(), base_version,
      [](kernel::table_version value, const version_step& entry) { return value < entry.version; });
  if (first != history_.end() && first->base < base_version) return std::nullopt;
  std::set<table::row_key> keys;
  for (auto next = first; next != history_.end(); ++next) {
    keys.insert(next->changed.begin(), next->changed.end());
  }
  std::vector<table::row_change> changes;
  for (const table::row_key& key : keys) {
    const auto row = rows_.find(key);
    changes.push_back(
        table::row_change{key, row == rows_.end() ? std::nullopt : std::optional(row->second)});
  }
  return changes;
}

void scope_history::AppendStep(version_step added) {
  version_ = added.version;
  const bool skips = added.version.value() - added.base.value() > 1;
  if (skips || !added.changed.empty()) history_.push_back(std::move(added));
  if (version_.value() <= kMaxVersionHistory) return;
  const kernel::table_version oldest(version_.value() - kMaxVersionHistory);
  while (!history_.empty() && history_.front().base < oldest) {
    oldest_base_ = history_.front().version;
    history_.pop_front();
  }
  oldest_base_ = std::max(oldest_base_, oldest);
}

}  // namespace cornelweir::distribution
