#ifndef CORNELWEIR_SRC_ROUTING_FINISH_KIND_H_
#define CORNELWEIR_SRC_ROUTING_FINISH_KIND_H_

#include <cstdint>

namespace cornelweir::routing {

// How a request to an upstream ended, for the balancer. kSuccess: a response other than a server
// error. kFailure: a broken connection, a timeout or a server error. kRefused: refused by a limit
// of the upstream's daemon. kCancelled: nobody waits for the response any more. kUnreachable: the
// connection to the upstream's daemon could not be opened.
enum class finish_kind : std::uint8_t { kSuccess, kFailure, kRefused, kCancelled, kUnreachable };

}  // namespace cornelweir::routing

#endif  // CORNELWEIR_SRC_ROUTING_FINISH_KIND_H_
