#ifndef CORNELWEIR_SRC_DISTRIBUTION_PUBLISHER_H_
#define CORNELWEIR_SRC_DISTRIBUTION_PUBLISHER_H_

#include <cstddef>

#include "cornelweir/src/distribution/feed.h"
#include "cornelweir/src/distribution/ids.h"
#include "cornelweir/src/distribution/messages.h"
#include "cornelweir/src/distribution/proof_batch.h"
#include "cornelweir/src/distribution/subscriber_actions.h"
#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/random_source.h"
#include "cornelweir/src/membership/member_table.h"

namespace cornelweir::distribution {

// Serves subscribers from the full table and all members.
class publisher {
 public:
  // The first nonce has to be random: it keeps the questions and transfers of this process apart
  // from those of others.
  explicit publisher(kernel::nonce first_nonce)
      : feed_(transfer_id(first_nonce.value())), proofs_(first_nonce) {}

  // Takes an accepted table. Older versions than the published one are ignored.
  subscriber_actions PublishTable(kernel::table_version version, const table::row_map& rows,
                                  kernel::time_point /*now*/) {
    subscriber_actions actions;
    feed_.PublishTable(version, rows, actions.messages);
    return actions;
  }

  // Takes the members. Older revisions than the published one are ignored.
  subscriber_actions PublishMembers(const membership::member_table& table,
                                    kernel::time_point /*now*/) {
    subscriber_actions actions;
    const auto changes = table.history().ChangesSince(feed_.members().revision());
    if (changes) {
      feed_.PublishMembers(*changes, table.revision(), actions.messages);
    } else {
      feed_.ResetMembers(table.members(), table.revision(), actions.messages);
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
                                 Random& /*random*/) {
    subscriber_actions actions;
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
    feed_.Remove(id);
    proofs_.Remove(id);
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

  // Releases queued pieces. To be called every kTickInterval.
  subscriber_actions Tick(kernel::time_point now) {
    subscriber_actions actions;
    feed_.Tick(actions.messages);
    AskForProof(now, actions);
    return actions;
  }

  std::size_t size() const { return feed_.size(); }
  kernel::table_version version() const { return feed_.version(); }

 private:
  void AskForProof(kernel::time_point now, subscriber_actions& actions) {
    if (const auto question = proofs_.Ask(now)) {
      actions.proof_requests.push_back(proof_request{*question});
    }
  }

  feed feed_;
  proof_batch proofs_;
};

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_PUBLISHER_H_
