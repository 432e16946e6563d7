#ifndef CORNELWEIR_SRC_DISTRIBUTION_PUBLISHER_H_
#define CORNELWEIR_SRC_DISTRIBUTION_PUBLISHER_H_

#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

#include "cornelweir/src/distribution/control_host_placement.h"
#include "cornelweir/src/distribution/ids.h"
#include "cornelweir/src/distribution/messages.h"
#include "cornelweir/src/distribution/placement.h"
#include "cornelweir/src/distribution/proof_batch.h"
#include "cornelweir/src/distribution/relay_placement.h"
#include "cornelweir/src/distribution/service_progress.h"
#include "cornelweir/src/distribution/subscriber.h"
#include "cornelweir/src/distribution/subscriber_actions.h"
#include "cornelweir/src/distribution/subscriber_result.h"
#include "cornelweir/src/distribution/subscription_manager.h"
#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/random_source.h"
#include "cornelweir/src/membership/member_table.h"

namespace cornelweir::distribution {

// Serves subscribers. A control host publishes the full table and all members, a relay the scope
// and members that it holds itself. Placement decides which subscribers are admitted.
template <placement Placement>
class basic_publisher {
 public:
  // The first nonce must be random: it separates the queries and transfers of this process from
  // those of other processes.
  explicit basic_publisher(kernel::nonce first_nonce, Placement policy = Placement())
      : subscriptions_(transfer_id(first_nonce.value())),
        proof_batch_(first_nonce),
        placement_(std::move(policy)) {}

  // Publishes an accepted table. Ignores versions that are not newer than the published one.
  subscriber_actions PublishTable(kernel::table_version version, const table::row_map& rows,
                                  kernel::time_point /*now*/) requires(Placement::kHasFullTable) {
    subscriber_actions actions;
    subscriptions_.PublishTable(version, rows, actions.messages);
    return actions;
  }

  // Publishes the members. Ignores revisions older than the published one. Changes within
  // kTickInterval are sent together.
  subscriber_actions PublishMembers(const membership::member_table& table,
                                    kernel::time_point now) requires(Placement::kHasFullTable) {
    const auto changes = table.history().ChangesSince(subscriptions_.members().revision());
    if (!changes && table.revision() < subscriptions_.members().revision()) return {};
    subscriber_actions actions;
    if (changes) {
      subscriptions_.PublishMembers(*changes, table.revision());
    } else {
      subscriptions_.ResetMembers(table.members(), table.revision());
    }
    ScheduleMembersUpdate(now, actions);
    return actions;
  }

  // Publishes what changed in the state of a relay's own subscriber. Scope and members are
  // published together, so that members of an older scope are never taken for those of a newer one.
  subscriber_actions PublishSubscriberState(
      const subscriber& state, const subscriber_result& change,
      kernel::time_point now) requires(!Placement::kHasFullTable) {
    subscriber_actions actions;
    if (change.version_changed) {
      subscriptions_.PublishScope(state.service(), state.version(), state.rows());
    }
    if (change.all_members_changed) {
      subscriptions_.ResetMembers(state.members(), state.revision());
    } else if (change.revision_changed) {
      subscriptions_.PublishMembers(change.member_changes, state.revision());
    }
    subscriptions_.SetMembersScopeVersion(state.members_scope_version());
    if (change.version_changed || change.all_members_changed) {
      subscriptions_.UpdateAll(actions.messages);
    } else if (change.revision_changed) {
      ScheduleMembersUpdate(now, actions);
    }
    return actions;
  }

  // Sends a confirmed heartbeat round to all subscribers.
  subscriber_actions Heartbeat(kernel::heartbeat_round round, kernel::time_point /*now*/) {
    subscriber_actions actions;
    subscriptions_.Heartbeat(round, actions.messages);
    return actions;
  }

  // Admits or redirects a new subscriber, or resynchronizes a known one.
  template <kernel::random_source Random>
  subscriber_actions OnSubscribe(subscriber_id id, const subscribe& request, kernel::time_point now,
                                 Random& random) {
    subscriber_actions actions;
    if (!subscriptions_.HasSubscriber(id, request.service)) {
      Remove(id);
      // A daemon has one publisher at a time, so its earlier connection is stale.
      if (const auto earlier =
              subscriptions_.FindSubscriberOfHost(request.service, request.subscriber)) {
        Remove(*earlier);
        actions.released.push_back(*earlier);
      }
      if (const auto redirection = placement_.Place(id, request, subscriptions_, now, random)) {
        SendRedirect(id, *redirection, actions);
        return actions;
      }
    }
    subscriptions_.Admit(id, request, actions.messages);
    if (request.nonce) proof_batch_.Add(id, *request.nonce);
    RequestProof(now, actions);
    return actions;
  }

  // Handles a query for a freshness proof.
  subscriber_actions OnProofQuery(subscriber_id id, const proof_query& query,
                                  kernel::time_point now) {
    subscriber_actions actions;
    if (!subscriptions_.HasSubscriber(id)) return actions;
    proof_batch_.Add(id, query.nonce);
    RequestProof(now, actions);
    return actions;
  }

  subscriber_actions OnApplied(subscriber_id id, const applied& report,
                               kernel::time_point /*now*/) {
    subscriptions_.OnApplied(id, report);
    return {};
  }

  subscriber_actions OnDisconnect(subscriber_id id, kernel::time_point /*now*/) {
    Remove(id);
    return {};
  }

  // Handles the answer to a proof request.
  subscriber_actions OnProof(const proof& answer, kernel::time_point now) {
    subscriber_actions actions;
    for (const auto& [id, nonce] : proof_batch_.TakeAnswered(answer.nonce)) {
      subscriptions_.SendProof(id, proof{nonce, answer.version, answer.revision}, actions.messages);
    }
    RequestProof(now, actions);
    return actions;
  }

  // Makes the next Tick() repeat an unanswered proof request. Used by a relay with a new publisher.
  void RetryProofRequest() { proof_batch_.RetryImmediately(); }

  // Sends queued pieces and member changes, repeats unanswered proof requests and redirects
  // subscribers as placement decides. To be called every kTickInterval.
  subscriber_actions Tick(kernel::time_point now) {
    subscriber_actions actions;
    if (members_pending_) UpdateMembers(now, actions);
    subscriptions_.Tick(actions.messages);
    RequestProof(now, actions);
    for (const auto& [id, redirection] : placement_.Review(subscriptions_, now)) {
      Remove(id);
      SendRedirect(id, redirection, actions);
    }
    return actions;
  }

  // The versions enforced by the daemons of a service that this publisher serves.
  service_progress Progress(const kernel::service_name& service) const {
    return subscriptions_.Progress(service);
  }

  Placement& policy() { return placement_; }
  std::size_t size() const { return subscriptions_.size(); }
  kernel::table_version version() const { return subscriptions_.version(); }
  kernel::membership_revision revision() const { return subscriptions_.members().revision(); }

 private:
  void Remove(subscriber_id id) {
    subscriptions_.Remove(id);
    proof_batch_.Remove(id);
    placement_.OnRemoved(id);
  }

  void SendRedirect(subscriber_id id, const redirect& redirection, subscriber_actions& actions) {
    outgoing& sent = actions.messages.emplace_back();
    sent.recipient = id;
    sent.message = redirection;
    actions.released.push_back(id);
  }

  void ScheduleMembersUpdate(kernel::time_point now, subscriber_actions& actions) {
    if (last_members_update_ && now - *last_members_update_ < kTickInterval) {
      members_pending_ = true;
    } else {
      UpdateMembers(now, actions);
    }
  }

  void UpdateMembers(kernel::time_point now, subscriber_actions& actions) {
    members_pending_ = false;
    last_members_update_ = now;
    subscriptions_.UpdateAll(actions.messages);
  }

  void RequestProof(kernel::time_point now, subscriber_actions& actions) {
    if (const auto query = proof_batch_.TakeDueQuery(now)) {
      actions.proof_requests.push_back(proof_request{*query});
    }
  }

  subscription_manager subscriptions_;
  proof_batch proof_batch_;
  Placement placement_;
  bool members_pending_ = false;
  std::optional<kernel::time_point> last_members_update_;
};

// The publisher of a control host.
using publisher = basic_publisher<control_host_placement>;
// The publisher of a relaying daemon.
using relay_publisher = basic_publisher<relay_placement>;

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_PUBLISHER_H_
