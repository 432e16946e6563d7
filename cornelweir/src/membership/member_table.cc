#include "cornelweir/src/membership/member_table.h"

#include <algorithm>

#include "cornelweir/src/membership/limits.h"

namespace cornelweir::membership {

announce_result member_table::Announce(const upstream_record& record,
                                       kernel::membership_revision revision) {
  if (!IsValid(record)) return {announce_outcome::kInvalid, {}};
  const auto current = members().find(record.id);
  if (current == members().end()) {
    const auto departed = tombstones_.find(record.id);
    const kernel::incarnation last =
        departed == tombstones_.end() ? incarnation_floor_ : departed->second.incarnation;
    if (record.incarnation <= last) return {announce_outcome::kRefused, kernel::Next(last)};
    if (record.state == upstream_state::kGone) {
      AddTombstone(record.id, record.incarnation, revision);
      return {announce_outcome::kUnchanged, {}};
    }
    if (members().size() >= kMaxMembers) return {announce_outcome::kFull, {}};
  } else {
    const upstream_record& known = current->second;
    if (record.incarnation < known.incarnation) {
      return {announce_outcome::kRefused, known.incarnation};
    }
    if (record.incarnation == known.incarnation) {
      if (record.state < known.state) {
        return {announce_outcome::kRefused, kernel::Next(known.incarnation)};
      }
      if (record == known) return {announce_outcome::kUnchanged, {}};
    }
    if (record.state == upstream_state::kGone) {
      Leave(record.id, record.incarnation, revision);
      return {announce_outcome::kAccepted, {}};
    }
  }
  if (const auto departed = tombstones_.find(record.id); departed != tombstones_.end()) {
    tombstones_by_age_.erase({departed->second.revision, record.id});
    tombstones_.erase(departed);
  }
  history_.Apply({member_change{record.id, record.service, record}}, revision);
  return {announce_outcome::kAccepted, {}};
}

bool member_table::Leave(const kernel::upstream_id& id, kernel::incarnation incarnation,
                         kernel::membership_revision revision) {
  const auto current = members().find(id);
  if (current == members().end()) {
    // A leave can be applied before the announcement of the same incarnation, which must then be
    // refused.
    AddTombstone(id, incarnation, revision);
    return false;
  }
  if (incarnation < current->second.incarnation) return false;
  const kernel::service_name service = current->second.service;
  history_.Apply({member_change{id, service, std::nullopt}}, revision);
  AddTombstone(id, incarnation, revision);
  return true;
}

member_snapshot member_table::Snapshot() const {
  member_snapshot snapshot;
  snapshot.revision = revision();
  for (const auto& [id, record] : members()) snapshot.members.push_back(record);
  for (const auto& [id, departed] : tombstones_) {
    snapshot.tombstones.push_back(tombstone{id, departed.incarnation, departed.revision});
  }
  snapshot.floor = incarnation_floor_;
  return snapshot;
}

void member_table::Restore(const member_snapshot& snapshot) {
  member_map members;
  for (const upstream_record& record : snapshot.members) members.emplace(record.id, record);
  history_.Reset(members, snapshot.revision);
  tombstones_.clear();
  tombstones_by_age_.clear();
  for (const tombstone& departed : snapshot.tombstones) {
    tombstones_.emplace(departed.id, departure{departed.incarnation, departed.revision});
    tombstones_by_age_.emplace(departed.revision, departed.id);
  }
  incarnation_floor_ = snapshot.floor;
}

void member_table::AddTombstone(const kernel::upstream_id& id, kernel::incarnation incarnation,
                                kernel::membership_revision revision) {
  const auto [entry, inserted] = tombstones_.try_emplace(id, departure{incarnation, revision});
  if (!inserted) {
    if (incarnation <= entry->second.incarnation) return;
    tombstones_by_age_.erase({entry->second.revision, id});
    entry->second = departure{incarnation, revision};
  }
  tombstones_by_age_.emplace(revision, id);
  while (tombstones_.size() > kMaxTombstones) {
    const auto oldest = tombstones_.find(tombstones_by_age_.begin()->second);
    incarnation_floor_ = std::max(incarnation_floor_, oldest->second.incarnation);
    tombstones_by_age_.erase(tombstones_by_age_.begin());
    tombstones_.erase(oldest);
  }
}

}  // namespace cornelweir::membership
