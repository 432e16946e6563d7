#ifndef CORNELWEIR_SRC_DISTRIBUTION_SUBSCRIPTION_MANAGER_H_
#define CORNELWEIR_SRC_DISTRIBUTION_SUBSCRIPTION_MANAGER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "cornelweir/src/distribution/applied.h"
#include "cornelweir/src/distribution/ids.h"
#include "cornelweir/src/distribution/messages.h"
#include "cornelweir/src/distribution/scope_history.h"
#include "cornelweir/src/distribution/service_progress.h"
#include "cornelweir/src/distribution/subscriber_actions.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/membership/member_history.h"

namespace cornelweir::distribution {

// Holds the scopes and members of a publisher and tracks what was sent to each admitted
// subscriber. Creates the messages that bring subscribers to the newest state. Admission is up to
// the caller.
class subscription_manager {
 public:
  using messages = std::vector<outgoing>;

  explicit subscription_manager(transfer_id first_transfer) : next_transfer_(first_transfer) {}

  // Stores a newer full table and sends the updates to all subscribers. Ignores older versions.
  void PublishTable(kernel::table_version version, const table::row_map& rows, messages& out);

  // Stores a newer version of the scope of one service. The next UpdateAll() sends it.
  void PublishScope(const kernel::service_name& service, kernel::table_version version,
                    const table::row_map& rows);

  // Stores newer members. The next UpdateAll() sends them.
  void PublishMembers(const std::vector<membership::member_change>& changes,
                      kernel::membership_revision revision);
  void ResetMembers(const membership::member_map& members, kernel::membership_revision revision);

  // Sets the table version whose scope determined which members are held here. A control host holds
  // all members, so it keeps the default, the largest version.
  void SetMembersScopeVersion(kernel::table_version version) { members_scope_version_ = version; }

  // Sends every subscriber the updates that it lacks.
  void UpdateAll(messages& out);

  // Sends every subscriber the updates that it lacks, then a heartbeat.
  void Heartbeat(kernel::heartbeat_round round, messages& out);

  // Adds a subscriber, or resynchronizes a known one from the state in its request.
  void Admit(subscriber_id id, const subscribe& request, messages& out);
  void Remove(subscriber_id id);

  void OnApplied(subscriber_id id, const applied& report);

  // Sends the updates that the subscriber lacks, then a proof.
  void SendProof(subscriber_id id, const proof& answer, messages& out);

  // Sends queued pieces, up to kBytesPerTick and the rest of the last piece.
  void Tick(messages& out);

  bool HasSubscriber(subscriber_id id) const { return subscribers_.contains(id); }
  bool HasSubscriber(subscriber_id id, const kernel::service_name& service) const {
    const auto found = subscribers_.find(id);
    return found != subscribers_.end() && found->second.service == service;
  }

  // The subscriber of a service that runs on the host, if any.
  std::optional<subscriber_id> FindSubscriberOfHost(const kernel::service_name& service,
                                                    const kernel::host_id& host) const;

  // The versions enforced by the daemons of a service that this publisher serves.
  service_progress Progress(const kernel::service_name& service) const;

  std::size_t size() const { return subscribers_.size(); }
  const membership::member_history& members() const { return members_; }
  const scope_history* FindScope(const kernel::service_name& service) const;
  kernel::table_version version() const { return version_; }

 private:
  using shared_pieces = std::shared_ptr<const std::vector<publisher_message>>;

  struct transfer {
    shared_pieces pieces;
    std::size_t next_piece = 0;
  };

  struct subscription {
    kernel::service_name service;
    subscribe request;
    // The subscriber's state once every message sent to it has arrived.
    kernel::table_version version;
    kernel::membership_revision revision;
    // The table version whose scope determined the members that the subscriber holds. Empty if it
    // lacks some or all of them and needs the full list.
    std::optional<kernel::table_version> members_scope_version;
    // Transfers with unsent pieces, oldest first.
    std::deque<transfer> transfers;
    applied report;
  };

  struct scope {
    explicit scope(const kernel::service_name& service) : history(service) {}

    scope_history history;
    std::map<kernel::host_id, subscriber_id> subscribers;
    // The latest snapshots, shared by the subscribers that receive them.
    shared_pieces table_snapshot;
    kernel::table_version table_snapshot_version;
    shared_pieces members_snapshot;
    kernel::membership_revision members_snapshot_revision;
    kernel::table_version members_snapshot_scope_version;
  };

  scope& ScopeFor(const kernel::service_name& service);
  void SendHeartbeat(subscriber_id id, const subscription& target, messages& out);
  void Update(subscriber_id id, subscription& target, bool include_unchanged, messages& out);
  void UpdateTable(subscriber_id id, subscription& target, scope& scope_entry, messages& out);
  void UpdateMembers(subscriber_id id, subscription& target, scope& scope_entry,
                     bool include_unchanged, messages& out);
  void Send(subscriber_id id, subscription& target, shared_pieces pieces, messages& out);
  void SendQueued(subscriber_id id, subscription& target, messages& out);
  kernel::table_version MembersScopeVersion(const scope& scope_entry) const;
  void RemoveFromScope(subscriber_id id, const subscription& removed);

  std::map<kernel::service_name, scope> scopes_;
  std::map<subscriber_id, subscription> subscribers_;
  membership::member_history members_;
  table::row_map table_;
  kernel::table_version version_;
  kernel::table_version members_scope_version_{UINT64_MAX};
  kernel::heartbeat_round latest_round_;
  transfer_id next_transfer_;
  // Bytes of queued pieces that may still be sent in this tick.
  std::int64_t byte_budget_ = 0;
  // The next tick starts after this subscriber, so that none is always served last.
  subscriber_id last_served_;
};

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_SUBSCRIPTION_MANAGER_H_
