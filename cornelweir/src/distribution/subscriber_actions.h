#ifndef CORNELWEIR_SRC_DISTRIBUTION_SUBSCRIBER_ACTIONS_H_
#define CORNELWEIR_SRC_DISTRIBUTION_SUBSCRIBER_ACTIONS_H_

#include <vector>

#include "cornelweir/src/distribution/ids.h"
#include "cornelweir/src/distribution/messages.h"
#include "cornelweir/src/kernel/ids.h"

namespace cornelweir::distribution {

// A message to one subscriber.
struct outgoing {
  subscriber_id recipient;
  publisher_message message;
};

// A request for a proof. A control host starts a read-index operation for it; a relay sends it to
// its own publisher. In both cases this must start after the request was made.
struct proof_request {
  kernel::nonce nonce;
};

// The messages and other actions that a publisher requests from its caller.
struct subscriber_actions {
  std::vector<outgoing> messages;
  std::vector<proof_request> proof_requests;
  // Subscribers that were redirected or replaced and are no longer served. Their connections may be
  // closed.
  std::vector<subscriber_id> released;
};

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_SUBSCRIBER_ACTIONS_H_
