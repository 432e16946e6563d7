#ifndef CORNELWEIR_SRC_TRANSPORT_LIMITS_H_
#define CORNELWEIR_SRC_TRANSPORT_LIMITS_H_

#include <chrono>
#include <cstddef>

#include "cornelweir/src/loop/tcp_keepalive_options.h"

namespace cornelweir::transport {

inline constexpr std::size_t kMaxFrameBytes = std::size_t{1} << 20;
// A peer that does not read for so long that this much is queued is disconnected.
inline constexpr std::size_t kMaxQueuedBytes = std::size_t{8} << 20;
inline constexpr std::size_t kReadBufferBytes = std::size_t{32} << 10;
// Long enough for a lost packet of the handshake to be sent again.
inline constexpr std::chrono::milliseconds kOpenTimeout{1500};
// Unacknowledged bytes and unanswered probes end a link that fell silent within these times.
inline constexpr loop::tcp_keepalive_options kLinkSilence{.user_timeout_ms = 1'500,
                                                          .keepalive_idle_s = 1,
                                                          .keepalive_interval_s = 1,
                                                          .max_keepalive_probes = 2};
inline constexpr std::size_t kMaxLinks = 4096;

}  // namespace cornelweir::transport

#endif  // CORNELWEIR_SRC_TRANSPORT_LIMITS_H_
