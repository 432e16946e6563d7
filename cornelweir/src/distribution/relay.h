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

// What a relay wants done.
struct relay_result {
  // What changed in the daemon's own subscriber. Its messages are moved to up.
  subscriber_result own;
  // Messages to the daemon's publisher.
  std::vector<upstream_message> up;
  // Messages to the daemon's children.
  std::vector<outgoing> down;
  // Children whose connections may be closed.
  std::vector<subscriber_id> released;
};

// The part of a daemon that holds a scope and passes it on to other daemons of its service.
//
// Versions, members, heartbeat rounds and proofs flow down as they are applied here; nonces and
// reports flow up. Children are served what this daemon holds even before it is ready: it consists
// of accepted versions, and each child waits for its own proof.
class relay {
 public:
  // The nonce has to be random. It must differ from that of the subscriber.
  relay(subscriber own, kernel::nonce first_nonce);

  const distribution::subscriber& own() const { return subscriber_; }
  const relay_publisher& children() const { return publisher_; }

  // The first message to a new publisher.
  subscribe Subscribe(kernel::time_point now, failure_count failed_relays = {});

  relay_result OnDownstream(const downstream_message& message, kernel::time_point now);

  template <kernel::random_source Random>
  relay_result OnUpstream(subscriber_id child, const upstream_message& message,
                          kernel::time_point now, Random& random) {
    relay_result result;
    publisher_.policy().SetFed(IsFed(now));
    if (const auto* request = std::get_if<subscribe>(&message)) {
      Collect(publisher_.OnSubscribe(child, *request, now, random), result);
    } else if (const auto* query = std::get_if<proof_query>(&message)) {
      Collect(publisher_.OnProofQuery(child, *query, now), result);
    } else {
      Collect(publisher_.OnApplied(child, std::get<applied>(message), now), result);
    }
    return result;
  }

  relay_result OnDisconnect(subscriber_id child, kernel::time_point now);

  // To be called every kTickInterval.
  relay_result Tick(kernel::time_point now);

  bool ShouldMove(kernel::time_point now) const { return subscriber_.ShouldMove(now); }

 private:
  bool IsFed(kernel::time_point now) const { return fed_ && !subscriber_.ShouldMove(now); }
  void Collect(subscriber_actions actions, relay_result& result);
  void Finish(kernel::time_point now, relay_result& result);
  void Report(kernel::time_point now, relay_result& result);

  distribution::subscriber subscriber_;
  relay_publisher publisher_;
  // Whether the current publisher brought a heartbeat round.
  bool fed_ = false;
  std::optional<applied> reported_;
  kernel::time_point reported_at_;
};

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_RELAY_H_
