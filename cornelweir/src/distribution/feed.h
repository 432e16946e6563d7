#ifndef CORNELWEIR_SRC_DISTRIBUTION_FEED_H_
#define CORNELWEIR_SRC_DISTRIBUTION_FEED_H_

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

// The scopes of a publisher, the members in them, and what each admitted subscriber was sent. It
// brings subscribers from what they hold to the newest state; whom to admit is decided elsewhere.
class feed {
 public:
  using messages = std::vector<outgoing>;

  explicit feed(transfer_id first_transfer) : next_transfer_(first_transfer) {}

  // Takes a newer full table and brings all subscribers to it.
  void PublishTable(kernel::table_version version, const table::row_map& rows, messages& out);

  // Takes a newer version of the scope of one service. It is sent by the next UpdateAll().
  void PublishScope(const kernel::service_name& service, kernel::table_version version,
                    const table::row_map& rows);

  // Takes newer members. They are sent by the next UpdateAll().
  void PublishMembers(const std::vector<membership::member_change>& changes,
                      kernel::membership_revision revision);
  void ResetMembers(const membership::member_map& members, kernel::membership_revision revision);

  // The version whose scope chose the members held here. A control host holds all members, so it
  // leaves this at the largest number.
  void SetMembersScope(kernel::table_version version) { members_scope_ = version; }

  // Brings every subscriber to the newest state.
  void UpdateAll(messages& out);

  // Sends a heartbeat to every subscriber, after what it still lacks.
  void Heartbeat(kernel::heartbeat_round round, messages& out);

  // Admits a subscriber, or begins again from what a known one holds now.
  void Admit(subscriber_id id, const subscribe& request, messages& out);
  void Remove(subscriber_id id);

  void OnApplied(subscriber_id id, const applied& report);

  // Sends a proof, after what the subscriber still lacks.
  void SendProof(subscriber_id id, const proof& answer, messages& out);

  // Releases queued pieces within the budget of one tick.
  void Tick(messages& out);

  bool Holds(subscriber_id id) const { return subscribers_.contains(id); }
  bool Holds(subscriber_id id, const kernel::service_name& service) const {
    const auto found = subscribers_.find(id);
    return found != subscribers_.end() && found->second.service == service;
  }

  // The subscription of a daemon.
  std::optional<subscriber_id> FindHost(const kernel::service_name& service,
                                        const kernel::host_id& host) const;

  // What the daemons of a service that are served from here enforce.
  service_progress Progress(const kernel::service_name& service) const;

  std::size_t size() const { return subscribers_.size(); }
  const membership::member_history& members() const { return members_; }
  const scope_history* FindScope(const kernel::service_name& service) const;
  kernel::table_version version() const { return version_; }

 private:
  using pieces = std::shared_ptr<const std::vector<downstream_message>>;

  struct transfer {
    pieces content;
    std::size_t next = 0;
  };

  struct subscription {
    kernel::service_name service;
    subscribe request;
    // What the subscriber holds once everything sent has arrived.
    kernel::table_version version;
    kernel::membership_revision revision;
    // The version whose scope chose the members that the subscriber holds. Nothing if it lacks some
    // or all of them, so that only a full list helps.
    std::optional<kernel::table_version> members_scope;
    std::deque<transfer> queue;
    applied report;
  };

  struct scope {
    explicit scope(const kernel::service_name& service) : history(service) {}

    scope_history history;
    std::map<kernel::host_id, subscriber_id> subscribers;
    // The last snapshots, shared by the subscribers that are sent them.
    pieces table_snapshot;
    kernel::table_version table_snapshot_version;
    pieces members_snapshot;
    kernel::membership_revision members_snapshot_revision;
    kernel::table_version members_snapshot_scope;
  };

  scope& ScopeFor(const kernel::service_name& service);
  void SendHeartbeat(subscriber_id id, const subscription& to, messages& out);
  void Update(subscriber_id id, subscription& to, bool include_unchanged, messages& out);
  void UpdateTable(subscriber_id id, subscription& to, scope& from, messages& out);
  void UpdateMembers(subscriber_id id, subscription& to, scope& from, bool include_unchanged,
                     messages& out);
  void Send(subscriber_id id, subscription& to, pieces content, messages& out);
  void Release(subscriber_id id, subscription& to, messages& out);
  kernel::table_version MembersScope(const scope& from) const;
  void Detach(subscriber_id id, const subscription& from);

  std::map<kernel::service_name, scope> scopes_;
  std::map<subscriber_id, subscription> subscribers_;
  membership::member_history members_;
  table::row_map table_;
  kernel::table_version version_;
  kernel::table_version members_scope_{UINT64_MAX};
  kernel::heartbeat_round round_;
  transfer_id next_transfer_;
  std::int64_t budget_ = 0;
  // Where the next tick begins, so that no subscriber is always the last.
  subscriber_id next_released_;
};

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_FEED_H_
