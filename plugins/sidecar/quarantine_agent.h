#ifndef CORNELWEIR_PLUGINS_SIDECAR_QUARANTINE_AGENT_H_
#define CORNELWEIR_PLUGINS_SIDECAR_QUARANTINE_AGENT_H_

#include <functional>
#include <vector>

#include "cornelweir/kernel.h"
#include "cornelweir/loop.h"
#include "cornelweir/metrics.h"
#include "cornelweir/protocol.h"
#include "cornelweir/quarantine.h"
#include "plugins/daemon_context.h"

namespace cornelweir::plugins::sidecar {

// Holds what a daemon knows of requests that crash upstreams, and exchanges it with the other
// daemons of its service and with the control group.
class quarantine_agent {
 public:
  struct handlers {
    // Returns the service of the upstream on this host.
    std::function<kernel::service_name()> service;
    // Sends to the connected daemons of that service.
    std::function<void(const protocol::data_message&)> send_to_service;
    std::function<void(const protocol::quarantine_report&)> send_to_control_host;
    // Called when requests for the upstream on this host may be admitted.
    std::function<void()> ready;
  };

  quarantine_agent(daemon_context& context, handlers callbacks);

  void Start();
  void Stop();

  // Whether this daemon has heard which requests are quarantined since it started, or has waited
  // long enough for it. Until then its upstream gets no requests.
  bool IsReady() const { return ready_; }
  // Time for which the request must be refused; zero if it may run.
  kernel::microseconds RefusedFor(kernel::fingerprint request) const {
    return guard_.RefusedFor(request, Now());
  }
  bool IsSuspect(kernel::fingerprint request) const { return guard_.IsSuspect(request); }

  // The upstream on this host has crashed.
  void OnCrash(const quarantine::crash_report& report);
  // The upstream on this host has completed the request.
  void OnCompleted(kernel::fingerprint request);
  // Another daemon refused a request for this reason.
  void Learn(const quarantine::quarantine_entry& entry) { guard_.Add(entry, Now()); }

  void OnNotice(const protocol::crash_notice& notice);
  void OnNotice(const protocol::suspects_cleared& notice);
  void OnNotice(const protocol::quarantine_notice& notice);
  // The control group's list for the service of this daemon.
  void OnList(const std::vector<quarantine::quarantined_fingerprint>& list);

  // What another daemon has to know before it gets requests for the service.
  protocol::quarantine_notice NoticeFor(const kernel::service_name& service) const {
    return {guard_.EntriesFor(service, Now())};
  }

 private:
  kernel::time_point Now() const { return context_.clock.Now(); }
  // Returns the requests that it quarantines.
  std::vector<kernel::fingerprint> RecordCrash(const quarantine::crash_report& report);
  void Report(const quarantine::quarantine_entry& entry);
  void ReportUnlisted();
  void SendCleared();
  void BecomeReady();
  void UpdateMetrics();

  daemon_context& context_;
  handlers handlers_;
  quarantine::quarantine_guard guard_;
  // Suspects that completed here and are to be cleared at the other daemons.
  std::vector<kernel::fingerprint> cleared_;
  loop::timer clear_timer_;
  loop::timer report_timer_;
  loop::timer ready_timer_;
  bool ready_ = false;
  metrics::gauge& quarantined_gauge_;
  metrics::gauge& suspects_gauge_;
};

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_PLUGINS_SIDECAR_QUARANTINE_AGENT_H_
