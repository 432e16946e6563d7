#ifndef CORNELWEIR_SRC_ROUTING_FINISH_KIND_H_
#define CORNELWEIR_SRC_ROUTING_FINISH_KIND_H_

#include <cstdint>

namespace cornelweir::routing {

// How a request to an upstream ended, as far as it tells something about the upstream. kSuccess is
// a response; kFailure a broken connection, a timeout or a server error; kRefused a refusal by
// limits of the daemon beside the upstream; kCancelled the end of a request nobody waits for;
// kUnreachable a connection to the daemon beside the upstream that could not be opened.
enum class finish_kind : std::uint8_t { kSuccess, kFailure, kRefused, kCancelled, kUnreachable };

}  // namespace cornelweir::routing

#endif  // CORNELWEIR_SRC_ROUTING_FINISH_KIND_H_
