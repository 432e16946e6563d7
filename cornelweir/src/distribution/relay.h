#ifndef CORNELWEIR_SRC_DISTRIBUTION_RELAY_H_
#define CORNELWEIR_SRC_DISTRIBUTION_RELAY_H_

#include <optional>
#include <utility>
#include <vector>

#include "cornelweir/src/distribution/ids.h"
#include "cornelweir/src/distribution/messages.h"
#include "cornelweir/src/distribution/publisher.h"
#include "cornelweir/src/distribution/subscriber.h"
#include "cornelweir/src/distribution/subscriber_actions.h"
#include "cornelweir/src/distribution/subscriber_result.h"
#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/random_source.h"

namespace cornelweir::distribution {

// The state changes of a relay and the messages that it has to send.
struct relay_result {
  // Changes of the daemon's own subscriber. Its messages are moved to `to_publisher`.
  subscriber_result changes;
  // Messages to the daemon's publisher.
  std::vector<subscriber_message> to_publisher;
  // Messages to the daemon's children.
  std::vector<outgoing> to_children;
  // Children that are no longer served. Their connections may be closed.
  std::vector<subscriber_id> released;
};

// Subscribes a daemon to its scope and relays it to other daemons of the service, the children.
//
// Versions, members, heartbeat rounds and proofs are relayed to the children once applied here;
// nonces and reports are relayed to the publisher. Children are served even before this daemon is
// ready: it holds only accepted versions, and each child waits for its own proof.
class relay {
 public:
  // first_nonce must be random and differ from the nonce of the subscriber.
  relay(subscriber own_subscriber, kernel::nonce first_nonce);

  const distribution::subscriber& own_subscriber() const { return subscriber_; }
  const relay_publisher& child_publisher() const { return publisher_; }

  // Creates the first message to a new publisher.
  subscribe Subscribe(kernel::time_point now, failure_count failed_relays = {});

  relay_result OnPublisherMessage(const publisher_message& message, kernel::time_point now);

  template <kernel::random_source Random>
  relay_result OnChildMessage(subscriber_id child, const subscriber_message& message,
                              kernel::time_point now, Random& random) {
    relay_result result;
    publisher_.policy().SetPublisherAlive(IsPublisherAlive(now));
    if (const auto* request = std::get_if<subscribe>(&message)) {
      AppendActions(publisher_.OnSubscribe(child, *request, now, random), result);
    } else if (const auto* query = std::get_if<proof_query>(&message)) {
      AppendActions(publisher_.OnProofQuery(child, *query, now), result);
    } else {
      AppendActions(publisher_.OnApplied(child, std::get<applied>(message), now), result);
    }
    return result;
  }

  relay_result OnDisconnect(subscriber_id child, kernel::time_point now);

  // To be called every kTickInterval.
  relay_result Tick(kernel::time_point now);

  bool HasHeartbeatTimedOut(kernel::time_point now) const {
    return subscriber_.HasHeartbeatTimedOut(now);
  }

 private:
  bool IsPublisherAlive(kernel::time_point now) const {
    return round_received_ && !subscriber_.HasHeartbeatTimedOut(now);
  }
  void AppendActions(subscriber_actions actions, relay_result& result);
  void PropagateChanges(kernel::time_point now, relay_result& result);
  void SendReport(kernel::time_point now, relay_result& result);

  distribution::subscriber subscriber_;
  relay_publisher publisher_;
  // Whether the current publisher has sent a heartbeat round.
  bool round_received_ = false;
  std::optional<applied> last_report_;
  kernel::time_point last_report_time_;
};

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_RELAY_H_
