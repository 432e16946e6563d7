#include "cornelweir/src/distribution/feed.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "cornelweir/src/distribution/limits.h"
#include "cornelweir/src/distribution/pieces.h"

namespace cornelweir::distribution {
namespace internal {

// Builds the message in place: GCC 12 warns of uninitialized alternatives when a variant that holds
// a small one is moved.
template <class Message>
void Push(std::vector<outgoing>& out, subscriber_id to, const Message& message) {
  outgoing& added = out.emplace_back();
  added.to = to;
  added.message = message;
}

}  // namespace internal

void feed::PublishTable(kernel::table_version version, const table::row_map& rows, messages& out) {
  if (version <= version_) return;
  const std::vector<table::row_change> delta = table::DeltaBetween(table_, rows);
  table_ = rows;
  version_ = version;
  for (auto& [service, entry] : scopes_) {
    // To derive every scope anew would take most of the time of a change.
    const bool touched = std::any_of(
        delta.begin(), delta.end(),
        [&history = entry.history](const auto& change) { return history.MayContain(change); });
    if (touched) {
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

void feed::PublishScope(const kernel::service_name& service, kernel::table_version version,
                        const table::row_map& rows) {
  scope& entry = scopes_.try_emplace(service, service).first->second;
  if (version <= entry.history.version()) return;
  entry.history.Advance(version, rows);
  version_ = std::max(version_, version);
}

void feed::PublishMembers(const std::vector<membership::member_change>& changes,
                          kernel::membership_revision revision) {
  members_.Apply(changes, revision);
}

void feed::ResetMembers(const membership::member_map& members,
                        kernel::membership_revision revision) {
  if (revision >= members_.revision()) members_.Reset(members, revision);
}

void feed::Heartbeat(kernel::heartbeat_round round, messages& out) {
  round_ = std::max(round_, round);
  for (auto& [id, to] : subscribers_) {
    Update(id, to, /*include_unchanged=*/true, out);
    SendHeartbeat(id, to, out);
  }
}

void feed::Admit(subscriber_id id, const subscribe& request, messages& out) {
  const auto [entry, inserted] = subscribers_.try_emplace(id);
  subscription& to = entry->second;
  // A transfer that is still queued continues. To restart it at each request would never end it.
  if (!inserted && !to.queue.empty()) return;
  if (!inserted) Detach(id, to);
  to.service = request.service;
  to.request = request;
  to.version = request.held_version;
  to.revision = request.held_revision;
  to.members_scope.reset();
  if (request.held_revision != kernel::membership_revision()) {
    to.members_scope = request.held_version;
  }
  to.queue.clear();
  to.report.version = request.held_version;
  to.report.revision = request.held_revision;
  ScopeFor(to.service).subscribers.insert_or_assign(request.subscriber, id);
  Update(id, to, /*include_unchanged=*/true, out);
  // A new subscriber that relays can serve its children only once it has seen a round.
  if (inserted && round_ != kernel::heartbeat_round()) SendHeartbeat(id, to, out);
}

void feed::Remove(subscriber_id id) {
  const auto found = subscribers_.find(id);
  if (found == subscribers_.end()) return;
  Detach(id, found->second);
  subscribers_.erase(found);
}

void feed::OnApplied(subscriber_id id, const applied& report) {
  const auto found = subscribers_.find(id);
  // A report that was overtaken by a newer one says nothing.
  if (found == subscribers_.end() || report.version < found->second.report.version) return;
  applied& kept = found->second.report;
  kept = report;
  // The lists come from another process and may be longer than they should be.
  if (kept.below.size() > kMaxVersionCounts) kept.below.resize(kMaxVersionCounts);
  if (kept.behind.size() > kMaxBehindNames) kept.behind.resize(kMaxBehindNames);
}

void feed::SendProof(subscriber_id id, const proof& answer, messages& out) {
  const auto found = subscribers_.find(id);
  if (found == subscribers_.end()) return;
  Update(id, found->second, /*include_unchanged=*/true, out);
  internal::Push(out, id, answer);
}

void feed::Tick(messages& out) {
  budget_ = kBytesPerTick.value();
  const subscriber_id start = next_released_;
  const auto release = [&](auto& entry) {
    if (budget_ <= 0 || entry.second.queue.empty()) return;
    Release(entry.first, entry.second, out);
    next_released_ = entry.first;
    if (entry.second.queue.empty()) {
      Update(entry.first, entry.second, /*include_unchanged=*/true, out);
    }
  };
  const auto middle = subscribers_.upper_bound(start);
  std::for_each(middle, subscribers_.end(), release);
  std::for_each(subscribers_.begin(), middle, release);
}

const scope_history* feed::FindScope(const kernel::service_name& service) const {
  const auto found = scopes_.find(service);
  return found == scopes_.end() ? nullptr : &found->second.history;
}

std::optional<subscriber_id> feed::FindHost(const kernel::service_name& service,
                                            const kernel::host_id& host) const {
  const auto entry = scopes_.find(service);
  if (entry == scopes_.end()) return std::nullopt;
  const auto found = entry->second.subscribers.find(host);
  if (found == entry->second.subscribers.end()) return std::nullopt;
  return found->second;
}

service_progress feed::Progress(const kernel::service_name& service) const {
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

void feed::SendHeartbeat(subscriber_id id, const subscription& to, messages& out) {
  internal::Push(out, id,
                 heartbeat{round_, ScopeFor(to.service).history.version(), members_.revision()});
}

feed::scope& feed::ScopeFor(const kernel::service_name& service) {
  const auto [entry, inserted] = scopes_.try_emplace(service, service);
  if (inserted) entry->second.history.Advance(version_, table::ScopeOf(table_, service));
  return entry->second;
}

void feed::UpdateAll(messages& out) {
  for (auto& [id, to] : subscribers_) Update(id, to, /*include_unchanged=*/false, out);
}

void feed::Update(subscriber_id id, subscription& to, bool include_unchanged, messages& out) {
  scope& from = ScopeFor(to.service);
  if (to.queue.empty()) UpdateTable(id, to, from, out);
  if (to.queue.empty()) UpdateMembers(id, to, from, include_unchanged, out);
}

void feed::UpdateTable(subscriber_id id, subscription& to, scope& from, messages& out) {
  const scope_history& history = from.history;
  if (to.version >= history.version()) return;
  const auto changes = history.ChangesSince(to.version);
  if (changes && changes->empty()) {
    internal::Push(out, id, version_notice{to.version, history.version()});
  } else if (changes) {
    const configuration delta{to.service, history.version(), to.version, *changes, next_transfer_,
                              {},         piece_number(1)};
    next_transfer_ = kernel::Next(next_transfer_);
    Send(id, to,
         std::make_shared<const std::vector<downstream_message>>(
             internal::CutIntoPieces(delta, &configuration::rows)),
         out);
  } else {
    if (!from.table_snapshot || from.table_snapshot_version != history.version()) {
      const configuration whole{to.service,
                                history.version(),
                                {},
                                table::DeltaBetween({}, history.rows()),
                                next_transfer_,
                                {},
                                piece_number(1)};
      next_transfer_ = kernel::Next(next_transfer_);
      from.table_snapshot = std::make_shared<const std::vector<downstream_message>>(
          internal::CutIntoPieces(whole, &configuration::rows));
      from.table_snapshot_version = history.version();
    }
    Send(id, to, from.table_snapshot, out);
  }
  to.version = history.version();
}

void feed::UpdateMembers(subscriber_id id, subscription& to, scope& from, bool include_unchanged,
                         messages& out) {
  const kernel::table_version chosen_by = MembersScope(from);
  const kernel::table_version needed = from.history.services_version();
  // A relay that has a scope with more services, but not their members yet.
  if (chosen_by < needed) return;
  if (to.revision > members_.revision()) return;
  std::optional<std::vector<membership::member_change>> changes;
  if (to.members_scope && *to.members_scope >= needed) {
    if (to.revision == members_.revision()) return;
    changes = members_.ChangesSince(to.revision, from.history.services());
  }
  if (changes) {
    if (changes->empty() && !include_unchanged) return;
    const distribution::members delta{to.revision, members_.revision(), chosen_by, *changes,
                                      false,       next_transfer_,      {},        piece_number(1)};
    next_transfer_ = kernel::Next(next_transfer_);
    Send(id, to,
         std::make_shared<const std::vector<downstream_message>>(
             internal::CutIntoPieces(delta, &distribution::members::changes)),
         out);
  } else {
    if (!from.members_snapshot || from.members_snapshot_revision != members_.revision() ||
        from.members_snapshot_scope != chosen_by) {
      const distribution::members whole{
          {},   members_.revision(), chosen_by, members_.CurrentMembers(from.history.services()),
          true, next_transfer_,      {},        piece_number(1)};
      next_transfer_ = kernel::Next(next_transfer_);
      from.members_snapshot = std::make_shared<const std::vector<downstream_message>>(
          internal::CutIntoPieces(whole, &distribution::members::changes));
      from.members_snapshot_revision = members_.revision();
      from.members_snapshot_scope = chosen_by;
    }
    Send(id, to, from.members_snapshot, out);
  }
  to.revision = members_.revision();
  to.members_scope = chosen_by;
}

void feed::Send(subscriber_id id, subscription& to, pieces content, messages& out) {
  if (content->size() == 1) {
    internal::Push(out, id, content->front());
    return;
  }
  to.queue.push_back(transfer{std::move(content), 0});
  Release(id, to, out);
}

void feed::Release(subscriber_id id, subscription& to, messages& out) {
  while (budget_ > 0 && !to.queue.empty()) {
    transfer& current = to.queue.front();
    const downstream_message& piece = (*current.content)[current.next];
    budget_ -= EstimatedSize(piece).value();
    internal::Push(out, id, piece);
    if (++current.next == current.content->size()) to.queue.pop_front();
  }
}

void feed::Detach(subscriber_id id, const subscription& from) {
  const auto entry = scopes_.find(from.service);
  if (entry == scopes_.end()) return;
  auto& subscribers = entry->second.subscribers;
  const auto own = subscribers.find(from.request.subscriber);
  if (own != subscribers.end() && own->second == id) subscribers.erase(own);
  // Subscribers may name any service, so those that the table does not have are not kept.
  if (subscribers.empty() && entry->second.history.rows().empty()) scopes_.erase(entry);
}

kernel::table_version feed::MembersScope(const scope& from) const {
  return std::min(members_scope_, from.history.version());
}

}  // namespace cornelweir::distribution
