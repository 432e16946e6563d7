#include "plugins/sidecar/host_traffic.h"

#include <string>
#include <utility>
#include <variant>

#include "cornelweir/logging.h"

namespace cornelweir::plugins::sidecar {
namespace internal {
namespace {

constexpr kernel::microseconds kTrafficLogPeriod = std::chrono::seconds(2);

std::string_view ToString(traffic_direction direction) {
  return direction == traffic_direction::kSent ? "sent" : "received";
}

traffic_purpose PurposeOf(const protocol::data_message& message) {
  if (std::holds_alternative<protocol::run_request>(message)) return traffic_purpose::kRequest;
  if (std::holds_alternative<protocol::run_response>(message)) return traffic_purpose::kResponse;
  if (std::holds_alternative<protocol::run_failed>(message)) return traffic_purpose::kRefusal;
  if (std::holds_alternative<protocol::body_piece>(message)) return traffic_purpose::kBodyPiece;
  if (std::holds_alternative<protocol::body_piece_ack>(message)) {
    return traffic_purpose::kAcknowledgement;
  }
  if (std::holds_alternative<protocol::upstream_report>(message) ||
      std::holds_alternative<protocol::link_probe>(message)) {
    return traffic_purpose::kReport;
  }
  return traffic_purpose::kOther;
}

metrics::counter& CounterOf(metrics::metrics_registry& metrics, traffic_direction direction,
                            traffic_purpose purpose) {
  return metrics.Counter("cornelweir_host_traffic_bytes_total",
                         "Bytes exchanged with other daemons and with callers",
                         {{"direction", std::string(ToString(direction))},
                          {"purpose", std::string(sidecar::ToString(purpose))}});
}

}  // namespace
}  // namespace internal

std::string_view ToString(traffic_purpose purpose) {
  switch (purpose) {
    case traffic_purpose::kRequest:
      return "request";
    case traffic_purpose::kResponse:
      return "response";
    case traffic_purpose::kRefusal:
      return "refusal";
    case traffic_purpose::kBodyPiece:
      return "body_piece";
    case traffic_purpose::kAcknowledgement:
      return "acknowledgement";
    case traffic_purpose::kReport:
      return "report";
    case traffic_purpose::kOther:
      return "other";
    case traffic_purpose::kCaller:
      return "caller";
  }
  return "unknown";
}

bool SendCountedData(metrics::metrics_registry& metrics, transport::link& link,
                     const protocol::data_message& message, std::string_view payload) {
  const std::string frame = codec::Frame(codec::EncodeDirectly(message), payload);
  internal::CounterOf(metrics, traffic_direction::kSent, internal::PurposeOf(message))
      .Increment(frame.size());
  return link.Send(frame);
}

boost::leaf::result<data_frame> ReadCountedData(metrics::metrics_registry& metrics,
                                                std::string_view bytes) {
  BOOST_LEAF_AUTO(frame, ReadData(bytes));
  internal::CounterOf(metrics, traffic_direction::kReceived, internal::PurposeOf(frame.message))
      .Increment(bytes.size());
  return frame;
}

void host_traffic::CountCallers(const http::byte_counts& callers) {
  internal::CounterOf(metrics_, traffic_direction::kSent, traffic_purpose::kCaller)
      .Increment(callers.sent - counted_callers_.sent);
  internal::CounterOf(metrics_, traffic_direction::kReceived, traffic_purpose::kCaller)
      .Increment(callers.received - counted_callers_.received);
  counted_callers_ = callers;
}

host_traffic::counts host_traffic::Totals() {
  counts totals{};
  for (std::size_t direction = 0; direction < kTrafficDirections; ++direction) {
    for (std::size_t purpose = 0; purpose < kTrafficPurposes; ++purpose) {
      totals[direction][purpose] =
          internal::CounterOf(metrics_, static_cast<traffic_direction>(direction),
                              static_cast<traffic_purpose>(purpose))
              .value();
    }
  }
  return totals;
}

void host_traffic::Log(const counts& totals, kernel::microseconds period) const {
  for (std::size_t direction = 0; direction < kTrafficDirections; ++direction) {
    logging::event line(logging::event_id::kHostTraffic);
    line.With("direction", internal::ToString(static_cast<traffic_direction>(direction)))
        .With("ms", kernel::ToMilliseconds(period).count());
    for (std::size_t purpose = 0; purpose < kTrafficPurposes; ++purpose) {
      line.With(ToString(static_cast<traffic_purpose>(purpose)),
                totals[direction][purpose] - logged_[direction][purpose]);
    }
  }
}

void host_traffic::Report(const http::byte_counts& callers, kernel::time_point now) {
  CountCallers(callers);
  if (logged_at_ == kernel::time_point()) logged_at_ = now;
  if (now - logged_at_ < internal::kTrafficLogPeriod) return;
  const counts totals = Totals();
  Log(totals, now - logged_at_);
  logged_ = totals;
  logged_at_ = now;
}

}  // namespace cornelweir::plugins::sidecar
