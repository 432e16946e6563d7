#include "plugins/sidecar/quota_client.h"

#include <iterator>
#include <utility>
#include <vector>

#include "cornelweir/logging.h"

namespace cornelweir::plugins::sidecar {
namespace internal {

// Period of the checks while requests wait or tokens are to be requested, and otherwise while
// workspaces are refused.
constexpr kernel::milliseconds kFastTickPeriod{20};
constexpr kernel::milliseconds kSlowTickPeriod{250};
// A workspace without a refusal for this time is no longer refused. Also the least time between two
// log events of a workspace.
constexpr kernel::milliseconds kRefusalLogPeriod{1'000};

}  // namespace internal

quota_client::quota_client(daemon_context& context, send_function send)
    : context_(context),
      send_(std::move(send)),
      store_(kernel::nonce(context.random.NextU64() >> 1U)),
      timer_(context.loop) {}

void quota_client::Admit(const kernel::workspace_id& workspace, kernel::microseconds max_wait,
                         callback done) {
  const kernel::time_point now = Now();
  const quota::quota_store::decision decided = store_.Take(workspace, now);
  if (store_.HasRequestLater()) ScheduleTick();
  switch (decided.outcome) {
    case quota::quota_store::verdict::kAdmitted:
      return Complete(workspace, now, done, {outcome::kAdmitted, decided.expires_at, {}});
    case quota::quota_store::verdict::kRefused:
      return Complete(workspace, now, done, {outcome::kQuotaExceeded, {}, decided.retry_after});
    case quota::quota_store::verdict::kWaiting:
      waiters_[workspace].push_back({now, now + max_wait, std::move(done)});
      ScheduleTick();
      ScheduleFlush();
      return;
  }
}

void quota_client::Return(const kernel::workspace_id& workspace, kernel::time_point expires_at) {
  store_.Return(workspace, expires_at, Now());
  DecideWaiters(workspace);
}

void quota_client::OnGrant(const quota::quota_grant& grant) {
  store_.OnGrant(grant, Now());
  for (const quota::token_grant& entry : grant.entries) DecideWaiters(entry.workspace);
  if (store_.HasRequestLater()) ScheduleTick();
}

void quota_client::OnLinkChanged(bool connected) {
  connected_ = connected;
  if (connected_) {
    ScheduleFlush();
  } else {
    store_.OnDisconnected();
  }
}

// Posted, so that all requests of one loop iteration share one message.
void quota_client::ScheduleFlush() {
  if (!connected_ || std::exchange(flush_scheduled_, true)) return;
  context_.loop.Post([this] {
    flush_scheduled_ = false;
    Flush();
  });
}

void quota_client::Flush() {
  if (!connected_) return;
  const auto request = store_.NextRequest(Now());
  if (request && !send_(*request)) store_.OnDisconnected();
}

void quota_client::ScheduleTick() {
  const bool fast = !waiters_.empty() || store_.HasRequestLater();
  if (timer_.running() && (ticking_fast_ || !fast)) return;
  if (!fast && refusing_count_ == 0) return;
  ticking_fast_ = fast;
  timer_.Start(fast ? internal::kFastTickPeriod : internal::kSlowTickPeriod, [this] { Tick(); });
}

void quota_client::Tick() {
  const kernel::time_point now = Now();
  store_.Tick(now);
  ExpireWaiters(now);
  Flush();
  UpdateReports(now);
  ScheduleTick();
}

void quota_client::ExpireWaiters(kernel::time_point now) {
  std::vector<std::pair<kernel::workspace_id, waiter>> expired;
  for (auto entry = waiters_.begin(); entry != waiters_.end();) {
    std::erase_if(entry->second, [&](waiter& waiting) {
      if (waiting.deadline > now) return false;
      store_.Abandon(entry->first);
      expired.emplace_back(entry->first, std::move(waiting));
      return true;
    });
    entry = entry->second.empty() ? waiters_.erase(entry) : std::next(entry);
  }
  for (const auto& [workspace, waiting] : expired) {
    Complete(workspace, waiting.since, waiting.done, {outcome::kNoAnswer, {}, {}});
  }
}

// Admits or refuses the requests that wait, as far as the store can decide. Looks the workspace up
// again after each callback, which may add or remove requests.
void quota_client::DecideWaiters(const kernel::workspace_id& workspace) {
  for (auto found = waiters_.find(workspace); found != waiters_.end();
       found = waiters_.find(workspace)) {
    const quota::quota_store::decision decided = store_.Retry(workspace, Now());
    if (decided.outcome == quota::quota_store::verdict::kWaiting) return;
    const waiter decided_waiter = std::move(found->second.front());
    found->second.pop_front();
    if (found->second.empty()) waiters_.erase(found);
    const bool admitted = decided.outcome == quota::quota_store::verdict::kAdmitted;
    Complete(workspace, decided_waiter.since, decided_waiter.done,
             {admitted ? outcome::kAdmitted : outcome::kQuotaExceeded, decided.expires_at,
              decided.retry_after});
  }
}

quota_client::workspace_report& quota_client::Report(const kernel::workspace_id& workspace) {
  const auto [found, added] = reports_.try_emplace(workspace);
  if (added) {
    const auto counter = [&](const char* result) {
      return &context_.metrics.Counter(
          "cornelweir_workspace_requests_total",
          "Requests of workspaces with a quota, by the decision about them",
          {{"workspace", workspace.value()}, {"outcome", result}});
    };
    found->second.admitted = counter("admitted");
    found->second.refused = counter("refused");
    found->second.unanswered = counter("unanswered");
    found->second.wait = &context_.metrics.Histogram(
        "cornelweir_workspace_token_wait_seconds",
        "Time from a request to the decision about it, by workspace with a quota",
        {{"workspace", workspace.value()}});
  }
  found->second.last_used_at = Now();
  return found->second;
}

void quota_client::Complete(const kernel::workspace_id& workspace, kernel::time_point since,
                            const callback& done, const admission& decided) {
  workspace_report& report = Report(workspace);
  report.wait->Observe(std::chrono::duration<double>(Now() - since).count());
  switch (decided.result) {
    case outcome::kAdmitted:
      report.admitted->Increment();
      break;
    case outcome::kQuotaExceeded:
      report.refused->Increment();
      LogRefusal(workspace, report, decided);
      break;
    case outcome::kNoAnswer:
      report.unanswered->Increment();
      break;
  }
  done(decided);
}

void quota_client::LogRefusal(const kernel::workspace_id& workspace, workspace_report& report,
                              const admission& decided) {
  const kernel::time_point now = Now();
  report.last_refused_at = now;
  ++report.refused_count;
  if (report.refusing || now - report.logged_at < internal::kRefusalLogPeriod) return;
  report.refusing = true;
  report.logged_at = now;
  ++refusing_count_;
  ScheduleTick();
  logging::event(logging::event_id::kQuotaExceeded)
      .With("workspace", workspace)
      .With("next_in_ms", kernel::ToMilliseconds(decided.retry_after).count());
}

// Logs that workspaces are no longer refused, and forgets those that are not in use.
void quota_client::UpdateReports(kernel::time_point now) {
  if (now - reports_updated_at_ < internal::kSlowTickPeriod) return;
  reports_updated_at_ = now;
  for (auto& [workspace, report] : reports_) {
    if (report.refusing && now - report.last_refused_at >= internal::kRefusalLogPeriod) {
      report.refusing = false;
      report.logged_at = now;
      --refusing_count_;
      logging::event(logging::event_id::kQuotaMet)
          .With("workspace", workspace)
          .With("refused", std::exchange(report.refused_count, 0));
    }
  }
  std::erase_if(reports_, [&](const auto& entry) {
    const workspace_report& report = entry.second;
    return !report.refusing && now - report.last_used_at >= quota::kIdleTime;
  });
}

}  // namespace cornelweir::plugins::sidecar
