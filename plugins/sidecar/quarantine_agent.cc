#include "plugins/sidecar/quarantine_agent.h"

#include <utility>

#include "cornelweir/logging.h"

namespace cornelweir::plugins::sidecar {
namespace internal {

// Cleared suspects are collected for this long, so that many that ran together take one message.
constexpr kernel::milliseconds kClearDelay{20};
// Interval at which quarantines that the control group's list lacks are reported to it.
constexpr kernel::milliseconds kReportPeriod{1'000};
constexpr std::size_t kMaxReportsPerPeriod = 16;
// A daemon that hears from no other daemon and from no control host after its start admits requests
// after this time.
constexpr kernel::milliseconds kMaxReadyWait{1'500};

}  // namespace internal

quarantine_agent::quarantine_agent(daemon_context& context, handlers callbacks)
    : context_(context),
      handlers_(std::move(callbacks)),
      clear_timer_(context.loop),
      report_timer_(context.loop),
      ready_timer_(context.loop),
      quarantined_gauge_(context.metrics.Gauge("cornelweir_quarantined_requests",
                                               "Quarantined requests that this daemon knows", {})),
      suspects_gauge_(context.metrics.Gauge(
          "cornelweir_crash_suspects",
          "Requests that were in progress at a crash of an upstream of this service", {})) {}

void quarantine_agent::Start() {
  report_timer_.StartPeriodic(internal::kReportPeriod, [this] {
    ReportUnlisted();
    UpdateMetrics();
  });
  ready_timer_.Start(internal::kMaxReadyWait, [this] { BecomeReady(); });
}

void quarantine_agent::Stop() {
  clear_timer_.Cancel();
  report_timer_.Cancel();
  ready_timer_.Cancel();
}

void quarantine_agent::BecomeReady() {
  if (std::exchange(ready_, true)) return;
  ready_timer_.Cancel();
  handlers_.ready();
}

void quarantine_agent::OnCrash(const quarantine::crash_report& report) {
  handlers_.send_to_service(protocol::crash_notice{handlers_.service(), report});
  protocol::quarantine_notice decided;
  for (const kernel::fingerprint request : RecordCrash(report)) {
    decided.entries.push_back({request, handlers_.service(), RefusedFor(request)});
    Report(decided.entries.back());
  }
  // Daemons that missed the notice of an earlier crash can't decide it themselves.
  if (!decided.entries.empty()) handlers_.send_to_service(decided);
}

void quarantine_agent::OnNotice(const protocol::crash_notice& notice) {
  if (notice.service == handlers_.service()) RecordCrash(notice.report);
}

std::vector<kernel::fingerprint> quarantine_agent::RecordCrash(
    const quarantine::crash_report& report) {
  std::vector<kernel::fingerprint> quarantined = guard_.OnCrash(handlers_.service(), report, Now());
  for (const kernel::fingerprint request : quarantined) {
    const std::vector<quarantine::upstream_crash> crashes = guard_.CrashesOf(request);
    logging::event(logging::event_id::kRequestQuarantined)
        .With("fingerprint", request)
        .With("service", handlers_.service())
        .With("crashes", crashes.size())
        .With("last_upstream", crashes.empty() ? kernel::upstream_id() : crashes.back().upstream)
        .With("seconds",
              std::chrono::duration_cast<std::chrono::seconds>(RefusedFor(request)).count());
  }
  UpdateMetrics();
  return quarantined;
}

void quarantine_agent::OnCompleted(kernel::fingerprint request) {
  if (!guard_.IsSuspect(request)) return;
  guard_.OnCompleted(request);
  cleared_.push_back(request);
  if (!clear_timer_.running()) clear_timer_.Start(internal::kClearDelay, [this] { SendCleared(); });
}

void quarantine_agent::SendCleared() {
  handlers_.send_to_service(protocol::suspects_cleared{std::exchange(cleared_, {})});
  UpdateMetrics();
}

void quarantine_agent::OnNotice(const protocol::suspects_cleared& notice) {
  for (const kernel::fingerprint request : notice.requests) guard_.OnCompleted(request);
}

void quarantine_agent::OnNotice(const protocol::quarantine_notice& notice) {
  for (const quarantine::quarantine_entry& entry : notice.entries) guard_.Add(entry, Now());
  BecomeReady();
}

void quarantine_agent::OnList(const std::vector<quarantine::quarantined_fingerprint>& list) {
  for (const kernel::fingerprint request : guard_.ReplaceList(list, Now())) {
    logging::event(logging::event_id::kQuarantineReleased).With("fingerprint", request);
  }
  UpdateMetrics();
  BecomeReady();
}

void quarantine_agent::Report(const quarantine::quarantine_entry& entry) {
  handlers_.send_to_control_host({entry.request, entry.service, guard_.CrashesOf(entry.request)});
}

// The control group may have had no leader when the quarantine was decided.
void quarantine_agent::ReportUnlisted() {
  std::size_t reported = 0;
  for (const auto& entry : guard_.UnlistedFor(handlers_.service(), Now())) {
    if (++reported > internal::kMaxReportsPerPeriod) return;
    Report(entry);
  }
}

void quarantine_agent::UpdateMetrics() {
  quarantined_gauge_.Set(static_cast<double>(guard_.EntriesFor(handlers_.service(), Now()).size()));
  suspects_gauge_.Set(static_cast<double>(guard_.suspects()));
}

}  // namespace cornelweir::plugins::sidecar
