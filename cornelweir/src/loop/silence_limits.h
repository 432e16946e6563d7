#ifndef CORNELWEIR_SRC_LOOP_SILENCE_LIMITS_H_
#define CORNELWEIR_SRC_LOOP_SILENCE_LIMITS_H_

#include <boost/asio/ip/tcp.hpp>

namespace cornelweir::loop {

// When a connection counts as dead although nobody closed it.
struct silence_limits {
  // How long sent bytes may stay unacknowledged.
  int unacknowledged_ms = 0;
  // An idle connection is probed after this time, then at the interval, and ends after so many
  // unanswered probes.
  int probe_after_s = 0;
  int probe_interval_s = 0;
  int probes = 0;
};

// Applies the limits, and lets small messages go at once.
void LimitSilence(boost::asio::ip::tcp::socket& socket, const silence_limits& limits);

}  // namespace cornelweir::loop

#endif  // CORNELWEIR_SRC_LOOP_SILENCE_LIMITS_H_
