#ifndef CORNELWEIR_SRC_DISTRIBUTION_SUBSCRIBER_ACTIONS_H_
#define CORNELWEIR_SRC_DISTRIBUTION_SUBSCRIBER_ACTIONS_H_

#include <vector>

#include "cornelweir/src/distribution/ids.h"
#include "cornelweir/src/distribution/messages.h"
#include "cornelweir/src/kernel/ids.h"

namespace cornelweir::distribution {

// A message to one subscriber.
struct outgoing {
  subscriber_id to;
  downstream_message message;
};

// A question for a proof. At a control host it starts a read index; at a relay it goes to the
// relay's own publisher. Either way it must start after it was requested here.
struct proof_request {
  kernel::nonce nonce;
};

// What a publisher wants done.
struct subscriber_actions {
  std::vector<outgoing> messages;
  std::vector<proof_request> proof_requests;
  // Subscribers that were sent away by the last message to them. Their connections may be closed.
  std::vector<subscriber_id> released;
};

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_SUBSCRIBER_ACTIONS_H_
