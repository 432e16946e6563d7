#ifndef CORNELWEIR_SRC_DISTRIBUTION_MESSAGES_H_
#define CORNELWEIR_SRC_DISTRIBUTION_MESSAGES_H_

#include <variant>

#include "cornelweir/src/distribution/applied.h"
#include "cornelweir/src/distribution/configuration.h"
#include "cornelweir/src/distribution/heartbeat.h"
#include "cornelweir/src/distribution/members.h"
#include "cornelweir/src/distribution/proof.h"
#include "cornelweir/src/distribution/proof_query.h"
#include "cornelweir/src/distribution/redirect.h"
#include "cornelweir/src/distribution/subscribe.h"
#include "cornelweir/src/distribution/version_notice.h"

namespace cornelweir::distribution {

// A message from a publisher to a subscriber.
using publisher_message =
    std::variant<redirect, configuration, version_notice, members, heartbeat, proof>;

// A message from a subscriber to its publisher.
using subscriber_message = std::variant<subscribe, applied, proof_query>;

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_MESSAGES_H_
