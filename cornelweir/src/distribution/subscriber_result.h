#ifndef CORNELWEIR_SRC_DISTRIBUTION_SUBSCRIBER_RESULT_H_
#define CORNELWEIR_SRC_DISTRIBUTION_SUBSCRIBER_RESULT_H_

#include <optional>
#include <vector>

#include "cornelweir/src/distribution/messages.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/membership/member_change.h"

namespace cornelweir::distribution {

// What a message changed in a subscriber, and what to send for it.
struct subscriber_result {
  // A newer version is held; its rows differ from the last ones if rows_changed.
  bool version_changed = false;
  bool rows_changed = false;
  // A newer revision is held; its members differ from the last ones if members_changed.
  bool revision_changed = false;
  bool members_changed = false;
  // The changes that led to the revision, unless all members were replaced.
  std::vector<membership::member_change> member_changes;
  bool all_members_changed = false;
  // The subscriber may accept requests from now on.
  bool became_ready = false;
  // A heartbeat brought a newer round.
  std::optional<kernel::heartbeat_round> round;
  // A proof arrived, for this process or for a relay's question.
  std::optional<proof> answer;
  // A complete version that was refused because it is not closed or not valid.
  std::optional<kernel::table_version> refused;
  // The publisher serves this subscriber no longer.
  std::optional<redirect> moved;
  std::vector<upstream_message> send;
};

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_SUBSCRIBER_RESULT_H_
