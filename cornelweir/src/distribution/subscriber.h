#ifndef CORNELWEIR_SRC_DISTRIBUTION_SUBSCRIBER_H_
#define CORNELWEIR_SRC_DISTRIBUTION_SUBSCRIBER_H_

#include <optional>
#include <set>
#include <utility>

#include "cornelweir/src/distribution/ids.h"
#include "cornelweir/src/distribution/messages.h"
#include "cornelweir/src/distribution/staging.h"
#include "cornelweir/src/distribution/subscriber_result.h"
#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/membership/member_history.h"
#include "cornelweir/src/table/configuration.h"

namespace cornelweir::distribution {

// What a daemon holds of the table and of the members, and how it gets newer ones.
//
// A version is applied only when all of it is there, it is newer than the held one, its base is
// the held one (or it is a snapshot), and its rows are closed under references and valid. The
// order in which messages arrive does not matter. What is held stays when the publisher changes.
class subscriber {
 public:
  // Whether a freshness proof arrived and everything it names is held. A process that has not
  // reached this must not accept requests: the one before it may have applied a newer version.
  // Never becomes false again.
  bool ready() const { return ready_; }

  const kernel::service_name& service() const { return service_; }
  const table::row_map& rows() const { return rows_; }
  kernel::table_version version() const { return version_; }
  const membership::member_map& members() const { return members_; }
  kernel::membership_revision revision() const { return revision_; }

  // Whether members() covers every service in rows().
  bool members_complete() const { return members_scope_ >= needed_scope_; }

  // The newest version whose services members() covers.
  kernel::table_version members_scope() const {
    return members_complete() ? version_ : members_scope_;
  }

  // Whether a nonce is the one of this process.
  bool Owns(kernel::nonce nonce) const { return nonce == nonce_; }
  const kernel::host_id& host() const { return host_; }
  const kernel::endpoint& control_endpoint() const { return control_endpoint_; }

  // The first message to a new publisher. Staged pieces are dropped; what is held stays.
  subscribe Subscribe(kernel::time_point now, failure_count failed_relays = {});

  subscriber_result OnMessage(const downstream_message& message, kernel::time_point now);

  // Repeats an unanswered proof query and, every kReportInterval, the report of what is held, and
  // asks for a resync if the publisher holds something newer that does not arrive. To be called
  // every kTickInterval.
  subscriber_result Tick(kernel::time_point now);

  // Whether the publisher brought no new heartbeat round for kHeartbeatTimeout.
  bool ShouldMove(kernel::time_point now) const;

  // The estimated size of staged pieces.
  kernel::byte_count staged() const;

 private:
  friend class subscriber_builder;

  subscriber() = default;

  subscribe Request();
  void On(const redirect& message, kernel::time_point now, subscriber_result& result);
  void On(const configuration& message, kernel::time_point now, subscriber_result& result);
  void On(const version_notice& message, kernel::time_point now, subscriber_result& result);
  void On(const distribution::members& message, kernel::time_point now, subscriber_result& result);
  void On(const heartbeat& message, kernel::time_point now, subscriber_result& result);
  void On(const proof& message, kernel::time_point now, subscriber_result& result);
  void MoveTo(kernel::table_version version, table::row_map rows, subscriber_result& result);
  void TakeEarlyMembers(subscriber_result& result);
  void TakeAllMembers(const distribution::members& message, subscriber_result& result);
  void Report(kernel::time_point now, subscriber_result& result);
  void Resync(kernel::time_point now, subscriber_result& result);
  void CheckReady(subscriber_result& result);

  kernel::service_name service_;
  kernel::host_id host_;
  kernel::endpoint control_endpoint_;
  kernel::nonce nonce_;

  table::row_map rows_;
  kernel::table_version version_;
  std::set<kernel::service_name> services_;
  membership::member_map members_;
  kernel::membership_revision revision_;
  kernel::table_version members_scope_;
  // The version that last added a service to the scope.
  kernel::table_version needed_scope_;

  internal::staging<configuration, table::row_change> staged_rows_{&configuration::rows};
  internal::staging<distribution::members, membership::member_change> staged_members_{
      &distribution::members::changes};
  // All members for a scope that is newer than the held version.
  std::optional<distribution::members> early_members_;

  std::optional<proof> proof_;
  bool ready_ = false;
  kernel::table_version refused_;
  kernel::heartbeat_round round_;
  kernel::time_point last_round_;
  kernel::table_version newest_version_;
  kernel::membership_revision newest_revision_;
  // When something that brings this subscriber forward arrived last.
  kernel::time_point last_progress_;
  std::optional<kernel::time_point> last_resync_;
  std::optional<kernel::time_point> last_query_;
  std::optional<kernel::time_point> last_report_;
};

// Sets up a subscriber.
class subscriber_builder {
 public:
  subscriber_builder& Service(kernel::service_name service) {
    built_.service_ = std::move(service);
    return *this;
  }
  subscriber_builder& Host(kernel::host_id host) {
    built_.host_ = std::move(host);
    return *this;
  }
  // Where children subscribe. Left out if the daemon does not relay.
  subscriber_builder& ControlEndpoint(kernel::endpoint endpoint) {
    built_.control_endpoint_ = std::move(endpoint);
    return *this;
  }
  // Has to be random: an answer to an earlier process of the same daemon must not count.
  subscriber_builder& Nonce(kernel::nonce nonce) {
    built_.nonce_ = nonce;
    return *this;
  }
  subscriber Build() {
    built_.services_ = {built_.service_};
    return built_;
  }

 private:
  subscriber built_;
};

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_SUBSCRIBER_H_
