#ifndef CORNELWEIR_SRC_DISTRIBUTION_PUBLISHER_H_
#define CORNELWEIR_SRC_DISTRIBUTION_PUBLISHER_H_

#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

#include "cornelweir/src/distribution/feed.h"
#include "cornelweir/src/distribution/ids.h"
#include "cornelweir/src/distribution/messages.h"
#include "cornelweir/src/distribution/placement.h"
#include "cornelweir/src/distribution/proof_batch.h"
#include "cornelweir/src/distribution/relay_placement.h"
#include "cornelweir/src/distribution/service_progress.h"
#include "cornelweir/src/distribution/source_placement.h"
#include "cornelweir/src/distribution/subscriber.h"
#include "cornelweir/src/distribution/subscriber_actions.h"
#include "cornelweir/src/distribution/subscriber_result.h"
#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/random_source.h"
#include "cornelweir/src/membership/member_table.h"

namespace cornelweir::distribution {

// Serves subscribers. A control host feeds it the full table and all members, a relay the scope
// that it holds itself. Placement decides whom it serves.
template <placement Placement>
class basic_publisher {
 public:
  // The first nonce has to be random: it keeps the questions and transfers of this process apart
  // from those of others.
  explicit basic_publisher(kernel::nonce first_nonce, Placement policy = Placement())
      : feed_(transfer_id(first_nonce.value())),
        proofs_(first_nonce),
        placement_(std::move(policy)) {}

  // Takes an accepted table. Older versions than the published one are ignored.
  subscriber_actions PublishTable(kernel::table_version version, const table::row_map& rows,
                                  kernel::time_point /*now*/) requires(Placement::kHoldsTable) {
    subscriber_actions actions;
    feed_.PublishTable(version, rows, actions.messages);
    return actions;
  }

  // Takes the members. Older revisions than the published one are ignored. Changes that follow each
  // other within kTickInterval are sent together.
  subscriber_actions PublishMembers(const membership::member_table& table,
                                    kernel::time_point now) requires(Placement::kHoldsTable) {
    const auto changes = table.history().ChangesSince(feed_.members().revision());
    if (!changes && table.revision() < feed_.members().revision()) return {};
    subscriber_actions actions;
    if (changes) {
      feed_.PublishMembers(*changes, table.revision());
    } else {
      feed_.ResetMembers(table.members(), table.revision());
    }
    UpdateMembersSoon(now, actions);
    return actions;
  }

  // Takes what changed in the scope and members that a relay holds, all at once: members of an
  // older scope must not pass for those of a newer one.
  subscriber_actions PublishHeld(const subscriber& held, const subscriber_result& change,
                                 kernel::time_point now) requires(!Placement::kHoldsTable) {
    subscriber_actions actions;
    if (change.version_changed) {
      feed_.PublishScope(held.service(), held.version(), held.rows());
    }
    if (change.all_members_changed) {
      feed_.ResetMembers(held.members(), held.revision());
    } else if (change.revision_changed) {
      feed_.PublishMembers(change.member_changes, held.revision());
    }
    feed_.SetMembersScope(held.members_scope());
    if (change.version_changed || change.all_members_changed) {
      feed_.UpdateAll(actions.messages);
    } else if (change.revision_changed) {
      UpdateMembersSoon(now, actions);
    }
    return actions;
  }

  // Passes a confirmed heartbeat round on.
  subscriber_actions Heartbeat(kernel::heartbeat_round round, kernel::time_point /*now*/) {
    subscriber_actions actions;
    feed_.Heartbeat(round, actions.messages);
    return actions;
  }

  // Admits a subscriber, sends it elsewhere, or serves a known one anew.
  template <kernel::random_source Random>
  subscriber_actions OnSubscribe(subscriber_id id, const subscribe& request, kernel::time_point now,
                                 Random& random) {
    subscriber_actions actions;
    if (!feed_.Holds(id, request.service)) {
      Remove(id);
      // A daemon has one publisher at a time, so an earlier connection of it is a dead one.
      if (const auto earlier = feed_.FindHost(request.service, request.subscriber)) {
        Remove(*earlier);
        actions.released.push_back(*earlier);
      }
      if (const auto elsewhere = placement_.Place(id, request, feed_, now, random)) {
        Release(id, *elsewhere, actions);
        return actions;
      }
    }
    feed_.Admit(id, request, actions.messages);
    if (request.nonce) proofs_.Add(id, *request.nonce);
    AskForProof(now, actions);
    return actions;
  }

  // Takes a question for a freshness proof.
  subscriber_actions OnProofQuery(subscriber_id id, const proof_query& query,
                                  kernel::time_point now) {
    subscriber_actions actions;
    if (!feed_.Holds(id)) return actions;
    proofs_.Add(id, query.nonce);
    AskForProof(now, actions);
    return actions;
  }

  subscriber_actions OnApplied(subscriber_id id, const applied& report,
                               kernel::time_point /*now*/) {
    feed_.OnApplied(id, report);
    return {};
  }

  subscriber_actions OnDisconnect(subscriber_id id, kernel::time_point /*now*/) {
    Remove(id);
    return {};
  }

  // Takes the answer to a proof request.
  subscriber_actions OnProof(const proof& answer, kernel::time_point now) {
    subscriber_actions actions;
    for (const auto& [id, nonce] : proofs_.Answer(answer.nonce)) {
      feed_.SendProof(id, proof{nonce, answer.version, answer.revision}, actions.messages);
    }
    AskForProof(now, actions);
    return actions;
  }

  // Repeats an unanswered question at the next call of Tick(), for a relay with a new publisher.
  void AskAgain() { proofs_.AskAgain(); }

  // Releases queued pieces and member changes, repeats unanswered questions and sends subscribers
  // away that should be served elsewhere. To be called every kTickInterval.
  subscriber_actions Tick(kernel::time_point now) {
    subscriber_actions actions;
    if (members_pending_) UpdateMembers(now, actions);
    feed_.Tick(actions.messages);
    AskForProof(now, actions);
    for (const auto& [id, elsewhere] : placement_.Review(feed_, now)) {
      Remove(id);
      Release(id, elsewhere, actions);
    }
    return actions;
  }

  // What the daemons of a service that are served from here enforce.
  service_progress Progress(const kernel::service_name& service) const {
    return feed_.Progress(service);
  }

  Placement& policy() { return placement_; }
  std::size_t size() const { return feed_.size(); }
  kernel::table_version version() const { return feed_.version(); }
  kernel::membership_revision revision() const { return feed_.members().revision(); }

 private:
  void Remove(subscriber_id id) {
    feed_.Remove(id);
    proofs_.Remove(id);
    placement_.OnRemoved(id);
  }

  void Release(subscriber_id id, const redirect& elsewhere, subscriber_actions& actions) {
    outgoing& sent = actions.messages.emplace_back();
    sent.to = id;
    sent.message = elsewhere;
    actions.released.push_back(id);
  }

  void UpdateMembersSoon(kernel::time_point now, subscriber_actions& actions) {
    if (last_members_update_ && now - *last_members_update_ < kTickInterval) {
      members_pending_ = true;
    } else {
      UpdateMembers(now, actions);
    }
  }

  void UpdateMembers(kernel::time_point now, subscriber_actions& actions) {
    members_pending_ = false;
    last_members_update_ = now;
    feed_.UpdateAll(actions.messages);
  }

  void AskForProof(kernel::time_point now, subscriber_actions& actions) {
    if (const auto question = proofs_.Ask(now)) {
      actions.proof_requests.push_back(proof_request{*question});
    }
  }

  feed feed_;
  proof_batch proofs_;
  Placement placement_;
  bool members_pending_ = false;
  std::optional<kernel::time_point> last_members_update_;
};

// The publisher of a control host.
using publisher = basic_publisher<source_placement>;
// The publisher of a daemon that relays.
using relay_publisher = basic_publisher<relay_placement>;

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_PUBLISHER_H_
