#ifndef CORNELWEIR_SRC_DISTRIBUTION_SUBSCRIBER_RESULT_H_
#define CORNELWEIR_SRC_DISTRIBUTION_SUBSCRIBER_RESULT_H_

#include <optional>
#include <vector>

#include "cornelweir/src/distribution/messages.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/membership/member_change.h"

namespace cornelweir::distribution {

// The changes of a subscriber caused by a message or a tick, and the messages to send.
struct subscriber_result {
  // The version advanced. If rows_changed, its rows may differ from the earlier ones.
  bool version_changed = false;
  bool rows_changed = false;
  // The revision advanced. If members_changed, its members may differ from the earlier ones.
  bool revision_changed = false;
  bool members_changed = false;
  // The changes up to the new revision, unless all members were replaced.
  std::vector<membership::member_change> member_changes;
  bool all_members_changed = false;
  // The subscriber may accept requests from now on.
  bool became_ready = false;
  // The round of a heartbeat, if newer than the rounds before.
  std::optional<kernel::heartbeat_round> new_round;
  // A received proof, for this process or for a query that it relayed.
  std::optional<proof> received_proof;
  // A complete version that was refused because its rows are not closed or not valid.
  std::optional<kernel::table_version> refused_version;
  // Set if the publisher no longer serves this subscriber.
  std::optional<redirect> redirection;
  std::vector<subscriber_message> messages;
};

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_SUBSCRIBER_RESULT_H_
