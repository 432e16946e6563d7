#include "plugins/control/currency_tracker.h"

#include <string_view>

namespace cornelweir::plugins::control {
namespace internal {

// An election and the first report of a daemon end within the first delay, so that a planned change
// of the leader logs nothing. A line each period is enough to see a state that lasts.
constexpr kernel::milliseconds kFirstOutageReport{2'000};
constexpr kernel::milliseconds kOutageReportPeriod{10'000};

}  // namespace internal

currency_tracker::currency_tracker(const replica& local, const loop::pause_tracker& pauses)
    : local_(local),
      pauses_(pauses),
      outage_(internal::kFirstOutageReport, internal::kOutageReportPeriod) {}

void currency_tracker::Update(kernel::time_point now) {
  UpdateConfirmation(now);
  LogStateChange(now);
  LogOutage(now);
}

void currency_tracker::UpdateConfirmation(kernel::time_point now) {
  const kernel::heartbeat_round confirmed = local_.node().confirmed_round();
  if (confirmed == node_round_) return;
  node_round_ = confirmed;
  if (confirmed == kernel::heartbeat_round()) return;
  confirmed_round_ = confirmed;
  // After a pause of this process, the message may have waited since the pause began.
  confirmed_at_ = pauses_.InputArrival(now);
}

std::optional<kernel::microseconds> currency_tracker::SinceConfirmation(
    kernel::time_point now) const {
  if (!confirmed_at_) return std::nullopt;
  return now - *confirmed_at_;
}

protocol::currency_state currency_tracker::State(kernel::time_point now,
                                                 bool is_read_proved) const {
  protocol::currency_facts facts;
  facts.has_policy = local_.machine().policy().current()->version != kernel::policy_version();
  facts.is_storage_healthy = local_.IsStorageHealthy();
  facts.knows_leader = local_.node().leader().has_value();
  facts.has_applied_all = local_.applied_index() >= local_.node().commit_index();
  if (node_round_ != kernel::heartbeat_round()) facts.confirmed_age = SinceConfirmation(now);
  facts.is_read_proved = is_read_proved;
  return protocol::DecideCurrency(facts, protocol::kMaxConfirmationAge);
}

protocol::currency_report currency_tracker::ReportFor(bool is_read_proved,
                                                      kernel::time_point now) const {
  protocol::currency_report report;
  report.state = State(now, is_read_proved);
  if (const auto age = SinceConfirmation(now)) report.confirmed_age = kernel::ToMilliseconds(*age);
  return report;
}

currency_status currency_tracker::Status(kernel::time_point now) const {
  const replication::node& node = local_.node();
  currency_status status;
  status.state = State(now);
  if (status.state != protocol::currency_state::kCurrent) status.outage = outage_.Duration(now);
  status.role = node.current_role();
  status.term = node.current_term();
  status.voters = node.VoterContacts();
  status.learners = node.configuration().learners.size();
  status.confirmed_round = confirmed_round_;
  status.confirmed_age = SinceConfirmation(now);
  status.applied = local_.applied_index();
  status.committed = node.commit_index();
  status.policy = local_.machine().policy().current()->version;
  status.storage = local_.storage().health().state();
  status.sync_duration = local_.last_sync_duration();
  return status;
}

void currency_tracker::LogStateChange(kernel::time_point now) {
  const bool is_current = IsCurrent(now);
  if (is_current) {
    outage_.End(now);
  } else {
    outage_.Begin(now);
  }
  if (is_current == was_current_) return;
  was_current_ = is_current;
  const currency_status status = Status(now);
  logging::event(logging::event_id::kCurrentStateChanged)
      .With("current", was_current_)
      .With("reason", protocol::CurrencyStateName(status.state))
      .With("version", status.policy)
      .With("silent_ms", DescribeAge(status.confirmed_age))
      .With("applied", status.applied)
      .With("committed", status.committed)
      .With("role", replication::RoleName(status.role))
      .With("term", status.term)
      .With("voters", status.voters.size())
      .With("heard", status.VotersHeard());
}

void currency_tracker::LogOutage(kernel::time_point now) {
  if (!outage_.IsReportDue(now)) return;
  const currency_status status = Status(now);
  logging::event(logging::event_id::kNotCurrent)
      .With("outage_ms", DescribeAge(status.outage))
      .With("reason", protocol::CurrencyStateName(status.state))
      .With("role", replication::RoleName(status.role))
      .With("term", status.term)
      .With("voters", DescribeVoters(status.voters))
      .With("heard", status.VotersHeard())
      .With("learners", status.learners)
      .With("round", DescribeRound(status.confirmed_round))
      .With("silent_ms", DescribeAge(status.confirmed_age))
      .With("applied", status.applied)
      .With("committed", status.committed)
      .With("storage", storage::StateName(status.storage))
      .With("sync_ms", DescribeAge(status.sync_duration));
}

}  // namespace cornelweir::plugins::control
