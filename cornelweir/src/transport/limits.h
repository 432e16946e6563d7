#ifndef CORNELWEIR_SRC_TRANSPORT_LIMITS_H_
#define CORNELWEIR_SRC_TRANSPORT_LIMITS_H_

#include <chrono>
#include <cstddef>

#include "cornelweir/src/loop/tcp_keepalive_options.h"

namespace cornelweir::transport {

// Largest payload of one message.
inline constexpr std::size_t kMaxMessageBytes = std::size_t{1} << 20;
// Largest send queue of a link. A link whose peer reads too slowly to stay below it is closed.
inline constexpr std::size_t kMaxSendQueueBytes = std::size_t{8} << 20;
inline constexpr std::size_t kReadBufferBytes = std::size_t{32} << 10;
// Covers connecting and the TLS and WebSocket handshakes. Long enough for a lost handshake packet
// to be retransmitted.
inline constexpr std::chrono::milliseconds kOpenTimeout{1500};
// How long a link that is being closed may take to send its queue and to be closed by its peer.
inline constexpr std::chrono::milliseconds kDrainTimeout{400};
// Unacknowledged data or unanswered keepalive probes close a link to an unresponsive peer after
// these times.
inline constexpr loop::tcp_keepalive_options kLinkKeepaliveOptions{.user_timeout_ms = 1'500,
                                                                   .keepalive_idle_s = 1,
                                                                   .keepalive_interval_s = 1,
                                                                   .max_keepalive_probes = 2};
// Pings on a link and how many of them may remain unanswered before it is closed.
struct ping_options {
  std::chrono::milliseconds period{};
  int max_unanswered = 0;
  // Whether any received bytes count as an answer: for a link on which this end only receives. Its
  // pings may wait behind what the other end sends.
  bool is_receiver = false;
};
// Between control hosts, whose group has no leader while too many links carry nothing: closed after
// 2 s. A host answers no pings while a sync blocks it.
inline constexpr ping_options kControlLinkPings{.period = std::chrono::milliseconds(250),
                                                .max_unanswered = 8};
inline constexpr ping_options kAcceptedControlLinkPings{
    .period = std::chrono::milliseconds(250), .max_unanswered = 8, .is_receiver = true};
// Links per listener, including those in the handshake; further connections are closed.
inline constexpr std::size_t kMaxLinks = 4096;

}  // namespace cornelweir::transport

#endif  // CORNELWEIR_SRC_TRANSPORT_LIMITS_H_
