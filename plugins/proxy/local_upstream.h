#ifndef CORNELWEIR_PLUGINS_PROXY_LOCAL_UPSTREAM_H_
#define CORNELWEIR_PLUGINS_PROXY_LOCAL_UPSTREAM_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "cornelweir/admission.h"
#include "cornelweir/http.h"
#include "cornelweir/kernel.h"
#include "cornelweir/membership.h"
#include "cornelweir/outcome.h"
#include "cornelweir/quarantine.h"
#include "plugins/daemon_context.h"
#include "plugins/proxy/control_client.h"
#include "plugins/proxy/subscription.h"

namespace cornelweir::plugins::proxy {

// A request for the upstream on this daemon's host.
struct local_request {
  std::shared_ptr<http::exchange> exchange;
  kernel::workspace_id workspace;
  admission::priority_class priority = admission::priority_class::kNormal;
  outcome::deadline deadline;
  kernel::fingerprint fingerprint;
  http::header_list extra_headers;
  http::forward_callbacks callbacks;
  // Called instead of callbacks.on_done if the request did not run.
  std::function<void(outcome::refusal_reason)> on_refused;
};

// Manages the upstream on this daemon's host: receives its announcements, renews its lease,
// forwards requests to it within the admission limits, and detects its crashes.
class local_upstream {
 public:
  local_upstream(daemon_context& context, control_client& client, subscription& table_subscription);

  // Starts the periodic lease renewal.
  void Start();
  // Announces the upstream as draining and refuses new requests.
  void BeginDrain();
  // Removes the upstream from the membership.
  void Leave();
  void Stop();

  // Applies the subscription's current limits and members.
  void Configure();
  // Call on each message from the publisher.
  void OnPublisherContact() { limit_share_.OnContact(context_.clock.Now()); }

  // Forwards a request to the upstream, queues it, or refuses it by request.on_refused.
  void Run(local_request request);

  // The record that is announced to the control hosts; empty without a running upstream.
  const std::optional<membership::upstream_record>& record() const { return record_; }
  kernel::request_count in_progress() const { return admission_.in_progress(); }

 private:
  void OnAnnouncement(const http::admin_request& request, http::admin_reply reply);
  void RunMaintenance();
  void SubmitAnnouncement();
  kernel::incarnation NewIncarnation();
  membership::upstream_state StateToAnnounce() const;
  void ForwardAdmitted(const std::vector<admission::ticket>& tickets);
  void Forward(admission::ticket ticket);
  void OnDone(admission::ticket ticket, const http::forward_result& result);
  void Refuse(const admission::refused_ticket& refused);
  void ScheduleQueueExpiry();
  void RecordBrokenRequest(kernel::fingerprint fingerprint);
  void ProbeUpstream();
  void ReportCrash(const membership::upstream_record& crashed,
                   const std::vector<kernel::fingerprint>& suspects);

  daemon_context& context_;
  control_client& control_client_;
  subscription& subscription_;
  http::connection_pool pool_;
  http::admin_client probe_client_;
  std::optional<membership::upstream_record> record_;
  kernel::endpoint endpoint_;
  kernel::time_point last_announcement_;
  kernel::incarnation last_incarnation_;
  bool announcement_in_flight_ = false;
  bool draining_ = false;
  admission::admission_controller admission_;
  admission::limit_share limit_share_;
  // Requests that are queued or in progress.
  std::unordered_map<admission::ticket, local_request> requests_;
  std::uint64_t next_ticket_ = 1;
  quarantine::crash_detector crash_detector_;
  std::int64_t started_at_ms_ = 0;
  // The state in the upstream's last announcement; record_.state holds the one sent to the control
  // hosts.
  membership::upstream_state reported_state_ = membership::upstream_state::kStarting;
  loop::timer maintenance_timer_;
  loop::timer queue_expiry_timer_;
  loop::timer probe_timer_;
};

}  // namespace cornelweir::plugins::proxy

#endif  // CORNELWEIR_PLUGINS_PROXY_LOCAL_UPSTREAM_H_
