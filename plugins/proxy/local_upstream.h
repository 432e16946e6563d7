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

// A request that is to run on the upstream beside this daemon.
struct local_request {
  std::shared_ptr<http::exchange> exchange;
  kernel::tenant_id tenant;
  admission::priority_class priority = admission::priority_class::kNormal;
  outcome::deadline deadline;
  kernel::fingerprint fingerprint;
  http::header_list extra_headers;
  http::forward_callbacks callbacks;
  // Called instead of callbacks.on_done if the request did not run.
  std::function<void(outcome::refusal_reason)> refused;
};

// The upstream beside this daemon: takes its announcements, keeps its lease, admits requests to it
// within the limits, and notices when it crashes.
class local_upstream {
 public:
  local_upstream(daemon_context& context, control_client& control, subscription& configuration);

  void Start();
  // Announces the upstream as draining and refuses new requests.
  void BeginDrain();
  // Tells the group that the upstream is gone.
  void Leave();
  void Stop();

  // Takes over limits and membership after a change of either.
  void Configure();
  void OnContact() { share_.OnContact(context_.clock.Now()); }

  void Run(local_request request);

  const std::optional<membership::upstream_record>& record() const { return record_; }
  kernel::request_count in_progress() const { return admission_.in_progress(); }

 private:
  void OnAnnouncement(const http::admin_request& request, http::admin_reply reply);
  void Maintain();
  void SubmitAnnouncement();
  kernel::incarnation NewIncarnation();
  membership::upstream_state AnnouncedState() const;
  void Admit(const std::vector<admission::ticket>& tickets);
  void Forward(admission::ticket ticket);
  void OnDone(admission::ticket ticket, const http::forward_result& result);
  void Refuse(const admission::refused_ticket& refused);
  void ArmExpiry();
  void NoteBroken(kernel::fingerprint fingerprint);
  void ProbeAfterBreak();
  void ReportCrash(const membership::upstream_record& crashed);
  void ForgetBroken();

  daemon_context& context_;
  control_client& control_;
  subscription& configuration_;
  http::connection_pool pool_;
  http::admin_client probe_;
  std::optional<membership::upstream_record> record_;
  kernel::endpoint endpoint_;
  kernel::time_point last_announcement_;
  kernel::incarnation last_incarnation_;
  bool announcing_ = false;
  bool draining_ = false;
  admission::admission_controller admission_;
  admission::limit_share share_;
  // Requests that are queued or in progress.
  std::unordered_map<admission::ticket, local_request> requests_;
  std::uint64_t next_ticket_ = 1;
  // Requests whose connections broke lately. They are reported if the upstream turns out to have
  // crashed: it refuses connections, or it announces itself as a new process.
  std::vector<kernel::fingerprint> broken_;
  quarantine::suspect_filter completed_;
  std::int64_t started_at_ms_ = 0;
  // What the upstream said last; record_ holds what is announced to the group.
  membership::upstream_state said_state_ = membership::upstream_state::kStarting;
  loop::timer maintenance_timer_;
  loop::timer expiry_timer_;
  loop::timer probe_timer_;
  loop::timer forget_timer_;
};

}  // namespace cornelweir::plugins::proxy

#endif  // CORNELWEIR_PLUGINS_PROXY_LOCAL_UPSTREAM_H_
