#ifndef CORNELWEIR_PLUGINS_SIDECAR_QUOTA_CLIENT_H_
#define CORNELWEIR_PLUGINS_SIDECAR_QUOTA_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <unordered_map>

#include "cornelweir/kernel.h"
#include "cornelweir/loop.h"
#include "cornelweir/metrics.h"
#include "cornelweir/quota.h"
#include "plugins/daemon_context.h"

namespace cornelweir::plugins::sidecar {

// Admits the requests of callers by the quotas of their workspaces. Obtains the tokens from the
// owner over the link to the control host.
class quota_client {
 public:
  enum class outcome : std::uint8_t {
    kAdmitted,
    kQuotaExceeded,
    // The owner did not answer in time.
    kNoAnswer,
  };
  struct admission {
    outcome result = outcome::kNoAnswer;
    // When the token of an admitted request expires.
    kernel::time_point expires_at;
    // Time until the next token, if the quota is used up.
    kernel::microseconds retry_after{};
  };
  using callback = std::function<void(const admission&)>;
  // Sends a request to the control host. Returns false if there is no link.
  using send_function = std::function<bool(const quota::quota_request&)>;

  quota_client(daemon_context& context, send_function send);

  // Calls back exactly once, at once if the tokens on this host suffice to decide, and otherwise
  // after at most max_wait.
  void Admit(const kernel::workspace_id& workspace, kernel::microseconds max_wait, callback done);
  // Takes back the token of an admitted request that did not run.
  void Return(const kernel::workspace_id& workspace, kernel::time_point expires_at);

  void OnGrant(const quota::quota_grant& grant);
  // To be called when the link to the control host opens and when it is lost.
  void OnLinkChanged(bool connected);

 private:
  struct waiter {
    kernel::time_point since;
    kernel::time_point deadline;
    callback done;
  };
  // What was logged and counted of a workspace.
  struct workspace_report {
    metrics::counter* admitted = nullptr;
    metrics::counter* refused = nullptr;
    metrics::counter* unanswered = nullptr;
    metrics::histogram* wait = nullptr;
    kernel::time_point last_used_at;
    bool refusing = false;
    kernel::time_point last_refused_at;
    kernel::time_point logged_at;
    std::uint64_t refused_count = 0;
  };

  kernel::time_point Now() const { return context_.clock.Now(); }
  void ScheduleFlush();
  void Flush();
  void ScheduleTick();
  void Tick();
  void ExpireWaiters(kernel::time_point now);
  void DecideWaiters(const kernel::workspace_id& workspace);
  workspace_report& Report(const kernel::workspace_id& workspace);
  // since is when the request arrived.
  void Complete(const kernel::workspace_id& workspace, kernel::time_point since,
                const callback& done, const admission& decided);
  void LogRefusal(const kernel::workspace_id& workspace, workspace_report& report,
                  const admission& decided);
  void UpdateReports(kernel::time_point now);

  daemon_context& context_;
  send_function send_;
  bool connected_ = false;
  quota::quota_store store_;
  // The requests that wait for tokens, by workspace, in the order of their arrival.
  std::unordered_map<kernel::workspace_id, std::deque<waiter>> waiters_;
  std::unordered_map<kernel::workspace_id, workspace_report> reports_;
  kernel::time_point reports_updated_at_;
  std::size_t refusing_count_ = 0;
  bool flush_scheduled_ = false;
  loop::timer timer_;
  // Whether the timer runs with the short period.
  bool ticking_fast_ = false;
};

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_PLUGINS_SIDECAR_QUOTA_CLIENT_H_
