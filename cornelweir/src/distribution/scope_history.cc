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
  step taken{version_, version, {}};
  for (const table::row_change& change : table::DeltaBetween(rows_, rows)) {
    taken.changed.push_back(change.key);
  }
  const bool changed = !taken.changed.empty();
  if (changed) {
    rows_ = rows;
    changed_version_ = version;
    std::set<kernel::service_name> services = ServicesIn(rows_, service_);
    if (!std::includes(services_.begin(), services_.end(), services.begin(), services.end())) {
      services_version_ = version;
    }
    services_ = std::move(services);
  }
  Move(std::move(taken));
  return changed;
}

void scope_history::AdvanceUnchanged(kernel::table_version version) {
  if (version > version_) Move(step{version_, version, {}});
}

bool scope_history::MayContain(const table::row_change& change) const {
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
      // A limit or wait that is new here is in scope only if a service refers to it.
      return std::any_of(services_.begin(), services_.end(), [&](const auto& name) {
        const auto* row = table::FindRow<table::service_row>(rows_, table::KeyOf(name));
        return row != nullptr &&
               (table::KeyOf(row->limit) == key || table::KeyOf(row->wait) == key);
      });
  }
}

std::optional<std::vector<table::row_change>> scope_history::ChangesSince(
    kernel::table_version held) const {
  if (held < floor_ || held > version_) return std::nullopt;
  // Steps are in the order of their versions: the first one that ends after held may skip it.
  const auto first = std::upper_bound(
      history_.begin(), history_.end(), held,
      [](kernel::table_version value, const step& entry) { return value < entry.version; });
  if (first != history_.end() && first->base < held) return std::nullopt;
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

void scope_history::Move(step taken) {
  version_ = taken.version;
  const bool skips = taken.version.value() - taken.base.value() > 1;
  if (skips || !taken.changed.empty()) history_.push_back(std::move(taken));
  if (version_.value() <= kMaxVersionHistory) return;
  const kernel::table_version oldest(version_.value() - kMaxVersionHistory);
  while (!history_.empty() && history_.front().base < oldest) {
    floor_ = history_.front().version;
    history_.pop_front();
  }
  floor_ = std::max(floor_, oldest);
}

}  // namespace cornelweir::distribution
