#ifndef CORNELWEIR_PLUGINS_SIDECAR_TRANSFER_TELEMETRY_H_
#define CORNELWEIR_PLUGINS_SIDECAR_TRANSFER_TELEMETRY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <utility>

#include "cornelweir/kernel.h"
#include "cornelweir/metrics.h"

namespace cornelweir::plugins::sidecar {

// How the transfer of a large body to another daemon ended.
enum class transfer_end : std::uint8_t {
  kSent,
  // The receiver no longer wants the body.
  kCancelled,
  // The deadline of the response passed.
  kLate,
  kMemoryScarce,
  kLinkClosed,
};

std::string_view ToString(transfer_end end);

// A transfer that ended.
struct transfer_record {
  // Of a request, or else of a response.
  bool of_request = false;
  std::size_t bytes = 0;
  std::size_t sent_bytes = 0;
  transfer_end end = transfer_end::kSent;
  // Time since the body was queued.
  kernel::microseconds duration{};
  // Response bytes that wait for the network after it.
  std::size_t waiting_bytes = 0;
  // Bytes that may be in flight, the time that the last acknowledgement took, and the rate at which
  // the network takes bytes.
  std::size_t window_bytes = 0;
  kernel::microseconds acknowledgement_delay{};
  double bytes_per_second = 0;
};

// Counts and logs what the network link of this host carries of large bodies, and how much of it
// was sent in vain.
class transfer_telemetry {
 public:
  explicit transfer_telemetry(metrics::metrics_registry& metrics) : metrics_(metrics) {}

  void OnEnded(const transfer_record& ended);

 private:
  metrics::metrics_registry& metrics_;
  std::map<std::pair<bool, transfer_end>, metrics::counter*> sent_bytes_;
};

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_PLUGINS_SIDECAR_TRANSFER_TELEMETRY_H_
