#include "cornelweir/src/membership/member_history.h"

#include <algorithm>

#include "cornelweir/src/membership/limits.h"

namespace cornelweir::membership {

const std::set<kernel::upstream_id>& member_history::MembersOf(
    const kernel::service_name& service) const {
  static const std::set<kernel::upstream_id> no_members;
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? no_members : found->second;
}

void member_history::Apply(const std::vector<member_change>& changes,
                           kernel::membership_revision revision) {
  if (revision <= revision_) return;
  for (const member_change& change : changes) {
    const auto old = members_.find(change.id);
    if (!change.record) {
      // A removal from a service that the upstream has left does not affect its present service.
      if (old == members_.end() || old->second.service != change.service) {
        RecordChange(change.id, change.service, revision);
      } else {
        Remove(change.id, revision);
      }
      continue;
    }
    if (old != members_.end() && old->second.service != change.record->service) {
      Remove(change.id, revision);
    }
    members_.insert_or_assign(change.id, *change.record);
    by_service_[change.record->service].insert(change.id);
    RecordChange(change.id, change.record->service, revision);
  }
  revision_ = revision;
}

void member_history::Reset(const member_map& members, kernel::membership_revision revision) {
  members_ = members;
  by_service_.clear();
  for (const auto& [id, record] : members_) by_service_[record.service].insert(id);
  history_.clear();
  revision_ = revision;
  history_start_ = revision;
}

std::optional<std::vector<member_change>> member_history::ChangesSince(
    kernel::membership_revision since, const std::set<kernel::service_name>& services) const {
  return Collect(since, &services);
}

std::optional<std::vector<member_change>> member_history::ChangesSince(
    kernel::membership_revision since) const {
  return Collect(since, nullptr);
}

std::vector<member_change> member_history::CurrentMembers(
    const std::set<kernel::service_name>& services) const {
  std::vector<member_change> all;
  for (const kernel::service_name& service : services) {
    for (const kernel::upstream_id& id : MembersOf(service)) {
      all.push_back(member_change{id, service, members_.at(id)});
    }
  }
  return all;
}

std::optional<std::vector<member_change>> member_history::Collect(
    kernel::membership_revision since, const std::set<kernel::service_name>* services) const {
  if (since < history_start_ || since > revision_) return std::nullopt;
  auto next = std::upper_bound(history_.begin(), history_.end(), since,
                               [](kernel::membership_revision value, const change_entry& entry) {
                                 return value < entry.revision;
                               });
  std::set<kernel::upstream_id> added;
  std::map<kernel::upstream_id, kernel::service_name> removed;
  std::vector<member_change> changes;
  for (; next != history_.end(); ++next) {
    if (services != nullptr && !services->contains(next->service)) continue;
    const auto current = members_.find(next->id);
    const bool present = current != members_.end() &&
                         (services == nullptr || services->contains(current->second.service));
    if (!present) {
      removed.insert_or_assign(next->id, next->service);
    } else if (added.insert(next->id).second) {
      changes.push_back(member_change{next->id, current->second.service, current->second});
    }
  }
  for (const auto& [id, service] : removed) {
    changes.push_back(member_change{id, service, std::nullopt});
  }
  return changes;
}

void member_history::Remove(const kernel::upstream_id& id, kernel::membership_revision revision) {
  const auto found = members_.find(id);
  const kernel::service_name service = found->second.service;
  const auto group = by_service_.find(service);
  group->second.erase(id);
  if (group->second.empty()) by_service_.erase(group);
  members_.erase(found);
  RecordChange(id, service, revision);
}

void member_history::RecordChange(const kernel::upstream_id& id,
                                  const kernel::service_name& service,
                                  kernel::membership_revision revision) {
  history_.push_back(change_entry{revision, id, service});
  while (history_.size() > kMaxHistoryEntries) {
    history_start_ = history_.front().revision;
    history_.pop_front();
  }
}

}  // namespace cornelweir::membership
