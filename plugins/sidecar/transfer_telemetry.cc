#include "plugins/sidecar/transfer_telemetry.h"

#include <string>

#include "cornelweir/logging.h"

namespace cornelweir::plugins::sidecar {

std::string_view ToString(transfer_end end) {
  switch (end) {
    case transfer_end::kSent:
      return "sent";
    case transfer_end::kCancelled:
      return "cancelled";
    case transfer_end::kLate:
      return "late";
    case transfer_end::kMemoryScarce:
      return "memory scarce";
    case transfer_end::kLinkClosed:
      return "link closed";
  }
  return "unknown";
}

void transfer_telemetry::OnEnded(const transfer_record& ended) {
  const std::string_view body = ended.of_request ? "request" : "response";
  metrics::counter*& known = sent_bytes_[{ended.of_request, ended.end}];
  if (known == nullptr) {
    known = &metrics_.Counter(
        "cornelweir_link_body_bytes_total", "Bytes of large bodies sent to other daemons",
        {{"body", std::string(body)}, {"end", std::string(ToString(ended.end))}});
  }
  known->Increment(ended.sent_bytes);
  logging::event(logging::event_id::kTransferEnded)
      .With("body", body)
      .With("end", ToString(ended.end))
      .With("bytes", ended.bytes)
      .With("sent", ended.sent_bytes)
      .With("ms", kernel::ToMilliseconds(ended.duration).count())
      .With("waiting", ended.waiting_bytes)
      .With("window", ended.window_bytes)
      .With("ack_ms", kernel::ToMilliseconds(ended.acknowledgement_delay).count())
      .With("rate", static_cast<std::int64_t>(ended.bytes_per_second));
}

}  // namespace cornelweir::plugins::sidecar
