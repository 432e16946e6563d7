#ifndef CORNELWEIR_PLUGINS_SIDECAR_HOST_TRAFFIC_H_
#define CORNELWEIR_PLUGINS_SIDECAR_HOST_TRAFFIC_H_

#include <array>
#include <boost/leaf.hpp>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "cornelweir/http.h"
#include "cornelweir/kernel.h"
#include "cornelweir/metrics.h"
#include "cornelweir/protocol.h"
#include "cornelweir/transport.h"
#include "plugins/sidecar/data_frame.h"

namespace cornelweir::plugins::sidecar {

// What bytes on the network of this host are for.
enum class traffic_purpose : std::uint8_t {
  kRequest,
  // A response with the part of its body that follows the header at once.
  kResponse,
  // A request that ends without a response at another daemon: refused or failed.
  kRefusal,
  // Pieces of large bodies.
  kBodyPiece,
  kAcknowledgement,
  // The load of an upstream, and probes of links.
  kReport,
  kOther,
  // Between callers on this host and this daemon.
  kCaller,
};

inline constexpr std::size_t kTrafficPurposes = 8;

std::string_view ToString(traffic_purpose purpose);

enum class traffic_direction : std::uint8_t { kSent, kReceived };

inline constexpr std::size_t kTrafficDirections = 2;

// Sends a message to another daemon as SendData() does, and counts its bytes.
bool SendCountedData(metrics::metrics_registry& metrics, transport::link& link,
                     const protocol::data_message& message, std::string_view payload = {});

// Decodes a frame of another daemon as ReadData() does, and counts its bytes.
boost::leaf::result<data_frame> ReadCountedData(metrics::metrics_registry& metrics,
                                                std::string_view bytes);

// Reports the bytes on the network of this host by purpose and direction, without what TCP and IP
// add to them. A link that is full of other bytes looks the same as an idle one without it.
class host_traffic {
 public:
  explicit host_traffic(metrics::metrics_registry& metrics) : metrics_(metrics) {}

  // Updates the counters with the bytes of callers, and logs what was sent and received since the
  // last line once per period.
  void Report(const http::byte_counts& callers, kernel::time_point now);

 private:
  using counts = std::array<std::array<std::uint64_t, kTrafficPurposes>, kTrafficDirections>;

  void CountCallers(const http::byte_counts& callers);
  counts Totals();
  void Log(const counts& totals, kernel::microseconds period) const;

  metrics::metrics_registry& metrics_;
  http::byte_counts counted_callers_;
  counts logged_{};
  kernel::time_point logged_at_;
};

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_PLUGINS_SIDECAR_HOST_TRAFFIC_H_
