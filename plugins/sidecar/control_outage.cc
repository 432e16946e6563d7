#include "plugins/sidecar/control_outage.h"

namespace cornelweir::plugins::sidecar {
namespace internal {

// A daemon that loses its host, or all hosts during an election, has another one within 2 s.
constexpr kernel::milliseconds kFirstReport{3'000};
// Thousands of daemons log the same outage.
constexpr kernel::milliseconds kReportPeriod{30'000};

}  // namespace internal

control_outage::control_outage() : schedule_(internal::kFirstReport, internal::kReportPeriod) {}

void control_outage::OnConfirmed(kernel::time_point now) {
  if (const auto duration = schedule_.End(now)) Log(/*is_current=*/true, *duration);
  schedule_.Begin(now);
  ends_.clear();
  reasons_.clear();
}

void control_outage::OnLinkEnded(control_link_end end,
                                 const std::optional<protocol::currency_report>& reported) {
  ++ends_[end];
  if (reported) ++reasons_[protocol::CurrencyStateName(reported->state)];
}

void control_outage::Tick(kernel::time_point now) {
  if (schedule_.IsReportDue(now)) Log(/*is_current=*/false, SinceConfirmed(now));
}

void control_outage::Log(bool is_current, kernel::microseconds duration) const {
  logging::event(logging::event_id::kNoHostCurrent)
      .With("current", is_current)
      .With("outage_ms", kernel::ToMilliseconds(duration).count())
      .With("unreachable", Ends(control_link_end::kUnreachable))
      .With("silent", Ends(control_link_end::kSilent))
      .With("not_current", Ends(control_link_end::kNotCurrent))
      .With("closed", Ends(control_link_end::kClosed))
      .With("host_reasons", DescribeReasons());
}

std::size_t control_outage::Ends(control_link_end end) const {
  const auto found = ends_.find(end);
  return found != ends_.end() ? found->second : 0;
}

std::string control_outage::DescribeReasons() const {
  std::string text;
  for (const auto& [reason, count] : reasons_) {
    if (!text.empty()) text.append(",");
    text.append(reason).append("=").append(std::to_string(count));
  }
  return text.empty() ? "none" : text;
}

}  // namespace cornelweir::plugins::sidecar
