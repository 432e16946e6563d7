#include "cornelweir/src/distribution/subscription_manager.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "cornelweir/src/distribution/limits.h"
#include "cornelweir/src/distribution/split_into_pieces.h"

namespace cornelweir::distribution {
namespace internal {

// Builds the message in place: GCC 12 warns about uninitialized alternatives when a variant that
// holds a small alternative is moved.
template <class Message>
void Push(std::vector<outgoing>& out, subscriber_id recipient, const Message& message) {
  outgoing& added = out.emplace_back();
  added.recipient = recipient;
  added.message = message;
}

}  // namespace internal

void subscription_manager::PublishTable(kernel::table_version version, const table::row_map& rows,
                                        messages& out) {
  if (version <= version_) return;
  const std::vector<table::row_change> delta = table::DeltaBetween(table_, rows);
  table_ = rows;
  version_ = version;
  for (auto& [service, entry] : scopes_) {
    // Recomputing every scope would take most of the time of a table change.
    const bool affected = std::any_of(
        delta.begin(), delta.end(),
        [&history = entry.history](const auto& change) { return history.MayBeAffectedBy(change); });
    if (affected) {
      entry.history.Advance(version, table::ScopeOf(rows, service));
    } else {
      entry.history.AdvanceUnchanged(version);
    }
  }
  for (const auto& [key, content] : rows) {
    if (key.kind != table::row_kind::kService) break;
    ScopeFor(kernel::service_name(key.name));
  }
  UpdateAll(out);
}

void subscription_manager::PublishScope(const kernel::service_name& service,
                                        kernel::table_version version, const table::row_map& rows) {
  scope& entry = scopes_.try_emplace(service, service).first->second;
  if (version <= entry.history.version()) return;
  entry.history.Advance(version, rows);
  version_ = std::max(version_, version);
}

void subscription_manager::PublishMembers(const std::vector<membership::member_change>& changes,
                                          kernel::membership_revision revision) {
  members_.Apply(changes, revision);
}

void subscription_manager::ResetMembers(const membership::member_map& members,
                                        kernel::membership_revision revision) {
  if (revision >= members_.revision()) members_.Reset(members, revision);
}

void subscription_manager::Heartbeat(kernel::heartbeat_round round, messages& out) {
  latest_round_ = std::max(latest_round_, round);
  for (auto& [id, target] : subscribers_) {
    Update(id, target, /*include_unchanged=*/true, out);
    SendHeartbeat(id, target, out);
  }
}

void subscription_manager::Admit(subscriber_id id, const subscribe& request, messages& out) {
  const auto [entry, inserted] = subscribers_.try_emplace(id);
  subscription& target = entry->second;
  // A queued transfer continues. Restarting it at each request could keep it from ever completing.
  if (!inserted && !target.transfers.empty()) return;
  if (!inserted) RemoveFromScope(id, target);
  target.service = request.service;
  target.request = request;
  target.version = request.held_version;
  target.revision = request.held_revision;
  target.members_scope_version.reset();
  if (request.held_revision != kernel::membership_revision()) {
    target.members_scope_version = request.held_version;
  }
  target.transfers.clear();
  target.report.version = request.held_version;
  target.report.revision = request.held_revision;
  ScopeFor(target.service).subscribers.insert_or_assign(request.subscriber, id);
  Update(id, target, /*include_unchanged=*/true, out);
  // A new relay can serve its children only after it has received a heartbeat round.
  if (inserted && latest_round_ != kernel::heartbeat_round()) SendHeartbeat(id, target, out);
}

void subscription_manager::Remove(subscriber_id id) {
  const auto found = subscribers_.find(id);
  if (found == subscribers_.end()) return;
  RemoveFromScope(id, found->second);
  subscribers_.erase(found);
}

void subscription_manager::OnApplied(subscriber_id id, const applied& report) {
  const auto found = subscribers_.find(id);
  // Ignores a report that arrives after a newer one.
  if (found == subscribers_.end() || report.version < found->second.report.version) return;
  applied& stored_report = found->second.report;
  stored_report = report;
  // The lists come from another process and may exceed their limits.
  if (stored_report.below.size() > kMaxVersionCounts) stored_report.below.resize(kMaxVersionCounts);
  if (stored_report.behind.size() > kMaxBehindHosts) stored_report.behind.resize(kMaxBehindHosts);
}

void subscription_manager::SendProof(subscriber_id id, const proof& answer, messages& out) {
  const auto found = subscribers_.find(id);
  if (found == subscribers_.end()) return;
  Update(id, found->second, /*include_unchanged=*/true, out);
  internal::Push(out, id, answer);
}

void subscription_manager::Tick(messages& out) {
  byte_budget_ = kBytesPerTick.value();
  const subscriber_id start = last_served_;
  const auto send_queued = [&](auto& entry) {
    if (byte_budget_ <= 0 || entry.second.transfers.empty()) return;
    SendQueued(entry.first, entry.second, out);
    last_served_ = entry.first;
    if (entry.second.transfers.empty()) {
      Update(entry.first, entry.second, /*include_unchanged=*/true, out);
    }
  };
  const auto middle = subscribers_.upper_bound(start);
  std::for_each(middle, subscribers_.end(), send_queued);
  std::for_each(subscribers_.begin(), middle, send_queued);
}

const scope_history* subscription_manager::FindScope(const kernel::service_name& service) const {
  const auto found = scopes_.find(service);
  return found == scopes_.end() ? nullptr : &found->second.history;
}

std::optional<subscriber_id> subscription_manager::FindSubscriberOfHost(
    const kernel::service_name& service, const kernel::host_id& host) const {
  const auto entry = scopes_.find(service);
  if (entry == scopes_.end()) return std::nullopt;
  const auto found = entry->second.subscribers.find(host);
  if (found == entry->second.subscribers.end()) return std::nullopt;
  return found->second;
}

service_progress subscription_manager::Progress(const kernel::service_name& service) const {
  service_progress progress;
  progress.service = service;
  progress.announced = daemon_count(members_.MembersOf(service).size());
  const auto entry = scopes_.find(service);
  if (entry == scopes_.end()) return progress;
  progress.version = entry->second.history.version();
  for (const auto& [host, id] : entry->second.subscribers) {
    AddReport(host, subscribers_.at(id).report, progress);
  }
  return progress;
}

void subscription_manager::SendHeartbeat(subscriber_id id, const subscription& target,
                                         messages& out) {
  internal::Push(
      out, id,
      heartbeat{latest_round_, ScopeFor(target.service).history.version(), members_.revision()});
}

subscription_manager::scope& subscription_manager::ScopeFor(const kernel::service_name& service) {
  const auto [entry, inserted] = scopes_.try_emplace(service, service);
  if (inserted) entry->second.history.Advance(version_, table::ScopeOf(table_, service));
  return entry->second;
}

void subscription_manager::UpdateAll(messages& out) {
  for (auto& [id, target] : subscribers_) Update(id, target, /*include_unchanged=*/false, out);
}

void subscription_manager::Update(subscriber_id id, subscription& target, bool include_unchanged,
                                  messages& out) {
  scope& scope_entry = ScopeFor(target.service);
  if (target.transfers.empty()) UpdateTable(id, target, scope_entry, out);
  if (target.transfers.empty()) UpdateMembers(id, target, scope_entry, include_unchanged, out);
}

void subscription_manager::UpdateTable(subscriber_id id, subscription& target, scope& scope_entry,
                                       messages& out) {
  const scope_history& history = scope_entry.history;
  if (target.version >= history.version()) return;
  const auto changes = history.ChangesSince(target.version);
  if (changes && changes->empty()) {
    internal::Push(out, id, version_notice{target.version, history.version()});
  } else if (changes) {
    const configuration delta{target.service, history.version(), target.version,
                              *changes,       next_transfer_,    {},
                              piece_number(1)};
    next_transfer_ = kernel::Next(next_transfer_);
    Send(id, target,
         std::make_shared<const std::vector<publisher_message>>(
             internal::SplitIntoPieces(delta, &configuration::rows)),
         out);
  } else {
    if (!scope_entry.table_snapshot || scope_entry.table_snapshot_version != history.version()) {
      const configuration snapshot{target.service,
                                   history.version(),
                                   {},
                                   table::DeltaBetween({}, history.rows()),
                                   next_transfer_,
                                   {},
                                   piece_number(1)};
      next_transfer_ = kernel::Next(next_transfer_);
      scope_entry.table_snapshot = std::make_shared<const std::vector<publisher_message>>(
          internal::SplitIntoPieces(snapshot, &configuration::rows));
      scope_entry.table_snapshot_version = history.version();
    }
    Send(id, target, scope_entry.table_snapshot, out);
  }
  target.version = history.version();
}

void subscription_manager::UpdateMembers(subscriber_id id, subscription& target, scope& scope_entry,
                                         bool include_unchanged, messages& out) {
  const kernel::table_version scope_version = MembersScopeVersion(scope_entry);
  const kernel::table_version required_version = scope_entry.history.services_version();
  // The scope of this relay has gained services whose members it does not have yet.
  if (scope_version < required_version) return;
  if (target.revision > members_.revision()) return;
  std::optional<std::vector<membership::member_change>> changes;
  if (target.members_scope_version && *target.members_scope_version >= required_version) {
    if (target.revision == members_.revision()) return;
    changes = members_.ChangesSince(target.revision, scope_entry.history.services());
  }
  if (changes) {
    if (changes->empty() && !include_unchanged) return;
    const distribution::members delta{
        target.revision, members_.revision(), scope_version, *changes, false, next_transfer_, {},
        piece_number(1)};
    next_transfer_ = kernel::Next(next_transfer_);
    Send(id, target,
         std::make_shared<const std::vector<publisher_message>>(
             internal::SplitIntoPieces(delta, &distribution::members::changes)),
         out);
  } else {
    if (!scope_entry.members_snapshot ||
        scope_entry.members_snapshot_revision != members_.revision() ||
        scope_entry.members_snapshot_scope_version != scope_version) {
      const distribution::members snapshot{{},
                                           members_.revision(),
                                           scope_version,
                                           members_.CurrentMembers(scope_entry.history.services()),
                                           true,
                                           next_transfer_,
                                           {},
                                           piece_number(1)};
      next_transfer_ = kernel::Next(next_transfer_);
      scope_entry.members_snapshot = std::make_shared<const std::vector<publisher_message>>(
          internal::SplitIntoPieces(snapshot, &distribution::members::changes));
      scope_entry.members_snapshot_revision = members_.revision();
      scope_entry.members_snapshot_scope_version = scope_version;
    }
    Send(id, target, scope_entry.members_snapshot, out);
  }
  target.revision = members_.revision();
  target.members_scope_version = scope_version;
}

void subscription_manager::Send(subscriber_id id, subscription& target, shared_pieces pieces,
                                messages& out) {
  if (pieces->size() == 1) {
    internal::Push(out, id, pieces->front());
    return;
  }
  target.transfers.push_back(transfer{std::move(pieces), 0});
  SendQueued(id, target, out);
}

void subscription_manager::SendQueued(subscriber_id id, subscription& target, messages& out) {
  while (byte_budget_ > 0 && !target.transfers.empty()) {
    transfer& current = target.transfers.front();
    const publisher_message& piece = (*current.pieces)[current.next_piece];
    byte_budget_ -= EstimatedSize(piece).value();
    internal::Push(out, id, piece);
    if (++current.next_piece == current.pieces->size()) target.transfers.pop_front();
  }
}

void subscription_manager::RemoveFromScope(subscriber_id id, const subscription& removed) {
  const auto entry = scopes_.find(removed.service);
  if (entry == scopes_.end()) return;
  auto& subscribers = entry->second.subscribers;
  const auto found = subscribers.find(removed.request.subscriber);
  if (found != subscribers.end() && found->second == id) subscribers.erase(found);
  // Subscribers may name any service, so the scope of a service that is not in the table is removed
  // with its last subscriber.
  if (subscribers.empty() && entry->second.history.rows().empty()) scopes_.erase(entry);
}

kernel::table_version subscription_manager::MembersScopeVersion(const scope& scope_entry) const {
  return std::min(members_scope_version_, scope_entry.history.version());
}

}  // namespace cornelweir::distribution
