#ifndef CORNELWEIR_SRC_DISTRIBUTION_SUBSCRIBER_H_
#define CORNELWEIR_SRC_DISTRIBUTION_SUBSCRIBER_H_

#include <optional>
#include <set>
#include <utility>

#include "cornelweir/src/distribution/ids.h"
#include "cornelweir/src/distribution/messages.h"
#include "cornelweir/src/distribution/piece_assembler.h"
#include "cornelweir/src/distribution/subscriber_result.h"
#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/membership/member_history.h"
#include "cornelweir/src/table/configuration.h"

namespace cornelweir::distribution {

// Holds a daemon's scope of the table and its members, and updates them from a publisher.
//
// A version is applied only if it is complete, newer than the current one, based on the current one
// (or a snapshot), and its rows are closed under references and valid. Messages may arrive in any
// order. The state is kept when the publisher changes.
class subscriber {
 public:
  // Whether a freshness proof arrived and the version and revision in it were reached. A process
  // must not accept requests before, as an earlier process of the daemon may have applied a newer
  // version. Never becomes false again.
  bool ready() const { return ready_; }

  const kernel::service_name& service() const { return service_; }
  const table::row_map& rows() const { return rows_; }
  kernel::table_version version() const { return version_; }
  const membership::member_map& members() const { return members_; }
  kernel::membership_revision revision() const { return revision_; }

  // Whether members() covers every service in rows().
  bool members_complete() const { return members_scope_version_ >= required_scope_version_; }

  // The newest table version for whose services members() is complete.
  kernel::table_version members_scope_version() const {
    return members_complete() ? version_ : members_scope_version_;
  }

  // Whether the nonce is that of this process.
  bool IsOwnNonce(kernel::nonce nonce) const { return nonce == nonce_; }
  const kernel::host_id& host() const { return host_; }
  const kernel::endpoint& control_endpoint() const { return control_endpoint_; }

  // Creates the first message to a new publisher. Drops staged pieces and keeps rows and members.
  subscribe Subscribe(kernel::time_point now, failure_count failed_relays = {});

  subscriber_result OnMessage(const publisher_message& message, kernel::time_point now);

  // Repeats an unanswered proof query, sends a report every kReportInterval, and requests a resync
  // if newer state of the publisher does not arrive. To be called every kTickInterval.
  subscriber_result Tick(kernel::time_point now);

  // Whether no new heartbeat round arrived for kHeartbeatTimeout.
  bool HasHeartbeatTimedOut(kernel::time_point now) const;

  // The estimated size of staged pieces.
  kernel::byte_count staged_bytes() const;

 private:
  friend class subscriber_builder;

  subscriber() = default;

  subscribe MakeRequest();
  void Handle(const redirect& message, kernel::time_point now, subscriber_result& result);
  void Handle(const configuration& message, kernel::time_point now, subscriber_result& result);
  void Handle(const version_notice& message, kernel::time_point now, subscriber_result& result);
  void Handle(const distribution::members& message, kernel::time_point now,
              subscriber_result& result);
  void Handle(const heartbeat& message, kernel::time_point now, subscriber_result& result);
  void Handle(const proof& message, kernel::time_point now, subscriber_result& result);
  void ApplyRows(kernel::table_version version, table::row_map rows, subscriber_result& result);
  void ApplyEarlyMembers(subscriber_result& result);
  void ReplaceMembers(const distribution::members& message, subscriber_result& result);
  void SendReport(kernel::time_point now, subscriber_result& result);
  void RequestResync(kernel::time_point now, subscriber_result& result);
  void UpdateReady(subscriber_result& result);

  kernel::service_name service_;
  kernel::host_id host_;
  kernel::endpoint control_endpoint_;
  kernel::nonce nonce_;

  table::row_map rows_;
  kernel::table_version version_;
  std::set<kernel::service_name> services_;
  membership::member_map members_;
  kernel::membership_revision revision_;
  kernel::table_version members_scope_version_;
  // The newest version that added a service to the scope.
  kernel::table_version required_scope_version_;

  internal::piece_assembler<configuration, table::row_change> row_assembler_{&configuration::rows};
  internal::piece_assembler<distribution::members, membership::member_change> member_assembler_{
      &distribution::members::changes};
  // A full list of members for a scope newer than the current version.
  std::optional<distribution::members> early_members_;

  std::optional<proof> proof_;
  bool ready_ = false;
  kernel::table_version refused_version_;
  kernel::heartbeat_round latest_round_;
  kernel::time_point last_round_time_;
  kernel::table_version newest_version_;
  kernel::membership_revision newest_revision_;
  // When a message that advances the state, or a piece of one, last arrived.
  kernel::time_point last_progress_time_;
  std::optional<kernel::time_point> last_resync_time_;
  std::optional<kernel::time_point> last_query_time_;
  std::optional<kernel::time_point> last_report_time_;
};

// Builds a subscriber.
class subscriber_builder {
 public:
  subscriber_builder& Service(kernel::service_name service) {
    subscriber_.service_ = std::move(service);
    return *this;
  }
  subscriber_builder& Host(kernel::host_id host) {
    subscriber_.host_ = std::move(host);
    return *this;
  }
  // Sets the endpoint where children subscribe. Not called if the daemon does not relay.
  subscriber_builder& ControlEndpoint(kernel::endpoint endpoint) {
    subscriber_.control_endpoint_ = std::move(endpoint);
    return *this;
  }
  // Sets the nonce of this process. It must be random, so that a proof for an earlier process of
  // the same daemon is not accepted.
  subscriber_builder& Nonce(kernel::nonce nonce) {
    subscriber_.nonce_ = nonce;
    return *this;
  }
  subscriber Build() {
    subscriber_.services_ = {subscriber_.service_};
    return subscriber_;
  }

 private:
  subscriber subscriber_;
};

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_SUBSCRIBER_H_
