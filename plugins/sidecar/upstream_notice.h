#ifndef CORNELWEIR_PLUGINS_SIDECAR_UPSTREAM_NOTICE_H_
#define CORNELWEIR_PLUGINS_SIDECAR_UPSTREAM_NOTICE_H_

#include <optional>

#include "cornelweir/kernel.h"

namespace cornelweir::plugins::sidecar {

// What a response says of the upstream that sent it.
struct upstream_notice {
  // The most requests a second that the upstream takes from all daemons together.
  std::optional<kernel::request_rate> rate_limit;
  // The upstream will end, and takes no new requests.
  bool leaving = false;
};

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_PLUGINS_SIDECAR_UPSTREAM_NOTICE_H_
