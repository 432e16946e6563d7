#ifndef CORNELWEIR_PLUGINS_SIDECAR_UPSTREAM_DISPATCHER_H_
#define CORNELWEIR_PLUGINS_SIDECAR_UPSTREAM_DISPATCHER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cornelweir/admission.h"
#include "cornelweir/http.h"
#include "cornelweir/kernel.h"
#include "cornelweir/loop.h"
#include "cornelweir/membership.h"
#include "cornelweir/protocol.h"
#include "cornelweir/rollout.h"
#include "plugins/daemon_context.h"
#include "plugins/sidecar/announcement_trust.h"
#include "plugins/sidecar/bulk_sender.h"
#include "plugins/sidecar/crash_watch.h"
#include "plugins/sidecar/input_backlog.h"
#include "plugins/sidecar/quarantine_agent.h"
#include "plugins/sidecar/queue_telemetry.h"
#include "plugins/sidecar/request_dialect.h"
#include "plugins/sidecar/response_room.h"
#include "plugins/sidecar/run_result.h"

namespace cornelweir::plugins::sidecar {

// Queues requests for the upstream on this host and sends them as its slots become free. All
// requests to the upstream pass through it, so it refuses requests without sending them when the
// upstream drains, was replaced or is full.
class upstream_dispatcher {
 public:
  using service_wait_source = std::function<kernel::microseconds(const kernel::service_name&)>;
  // Returns an empty path if the service is unknown.
  using health_path_source = std::function<std::string(const kernel::service_name&)>;

  upstream_dispatcher(daemon_context& context, const dialect_functions& dialect,
                      const bulk_sender& bulk, std::function<void()> on_change);

  // Runs a request now or when a slot is free. done is called once, unless the request is
  // cancelled, and never from within Run().
  admission::ticket Run(protocol::run_request request, std::string body, run_callback done);
  // Discards the result: done is not called. A running request is aborted if it is idempotent, and
  // otherwise runs to its end.
  void Cancel(admission::ticket id);

  // Uses the upstream, unless it may have left already: then it is used once it has answered a
  // health probe.
  announcement_result Announce(const membership::upstream_announcement& announcement);
  // Stops sending requests to the upstream, whether or not it is known.
  void Withdraw(const kernel::upstream_id& id, std::string_view reason);
  // Restores what this daemon knew of its upstream before it restarted. Announcements and health
  // responses of the same upstream process do not undo it.
  void Restore(const membership::announced_upstream& upstream);
  // What the latest announcement and the responses said; empty if no announcement was received or
  // restored. A rate limit that is unknown looks like none: a daemon that restarts again before
  // the first response takes it for that.
  std::optional<membership::announced_upstream> LastAnnounced() const;
  void SetHealthPathSource(health_path_source source) { health_path_ = std::move(source); }
  // Probes the health of an upstream that is needed to use it, or that has not announced itself
  // shortly after the start. To be called when health paths may have become known.
  void StartProbing();
  // Refuses all further requests whose time limits end later: the process may end before they do,
  // and other daemons can still run them.
  void RefuseRunsBeyond(kernel::time_point finish_at) { finish_at_ = finish_at; }
  // Refuses queued and all further requests.
  void BeginShutdown();
  // Sets the object that decides which versions take requests and counts the evidence of rollouts.
  // It must outlive this object's last use.
  void UseGuard(rollout::upstream_guard& guard) { guard_ = &guard; }
  // Sets the object that decides which requests are refused because they crash upstreams. It must
  // outlive this object's last use.
  void UseQuarantine(quarantine_agent& quarantine) { quarantine_ = &quarantine; }
  // To be called when the quarantine is ready.
  void OnQuarantineReady() { OnStateChanged("quarantine known"); }
  // To be called when the guard admits or excludes the upstream.
  void OnAdmissionChanged() { OnStateChanged("rollout"); }

  // Whether requests for the service are accepted now.
  bool Serves(const kernel::service_name& service_name) const {
    return IsOpen() && service_name == service();
  }
  protocol::upstream_report Report() const;
  protocol::upstream_load Load() const;
  // Usual run time of the requests of a route; zero if unknown.
  kernel::microseconds UsualRunTime(const kernel::route_name& route) const {
    return speed_.usual_run_time(route);
  }
  // Mean run time of the latest requests of a route; zero if unknown.
  kernel::microseconds MeanRunTime(const kernel::route_name& route) const;
  // Expected time that a further request would wait for a slot.
  kernel::microseconds ExpectedSlotWait() const { return queue_.ExpectedWait(Now()); }
  // The service from the latest announcement, or else from the settings.
  const kernel::service_name& service() const;
  // The upstream in use and the version of its software; empty if unknown.
  kernel::upstream_id upstream() const {
    return announced_ ? announced_->id : kernel::upstream_id();
  }
  kernel::software_version version() const {
    return announced_ ? announced_->version : kernel::software_version();
  }
  bool busy() const { return !runs_.empty(); }
  // Requests are not started while the backlog may contain their cancellations.
  input_backlog& backlog() { return backlog_; }
  // The fraction of the requests at the upstream that another upstream may have received before.
  double RepeatedShare() const;
  // Sets the source of the time that requests wait for a slot at the upstreams of a service.
  void SetServiceWaitSource(service_wait_source source) { service_wait_ = std::move(source); }
  // Records a call of the upstream to a service.
  void OnCallOfUpstream(const kernel::service_name& called);
  // The rank that calls of the upstream inherit; empty if it runs nothing.
  std::optional<protocol::parent_rank> RankOfCalls() const;
  // The limit that the upstream's responses state; 0 if they state none.
  double RequestsPerSecond() const;
  std::uint64_t connections_opened() const { return client_.opened_connections(); }

 private:
  struct run {
    protocol::run_request request;
    std::string body;
    run_callback done;
    kernel::time_point arrived_at;
    kernel::time_point deadline;
    // That of the parent if the request is nested.
    admission::request_rank rank;
    // What the queue was asked; without content until then.
    admission::slot_request asked;
    kernel::time_point started_at;
    // The request had been in progress at a crash when it started.
    bool was_suspect = false;
    kernel::upstream_id upstream;
    std::shared_ptr<http::upstream_exchange> exchange;
    // Room for the response while the request runs.
    std::shared_ptr<memory::memory_hold> reservation;
    // Valid once there is a response.
    upstream_response_kind response_kind = upstream_response_kind::kUnusable;
    bool result_wanted = true;
    // Share of expected_bytes_ of the dispatcher while the request runs.
    std::size_t expected_bytes = 0;
  };

  // Moving averages over the runs of a route.
  struct route_history {
    admission::run_time_estimate run_time;
    // The longest time that was left when a request arrived.
    kernel::microseconds time_limit{};
    std::size_t response_bytes = 0;
  };

  // The period between health probes shortly after the start.
  static constexpr kernel::milliseconds kMinProbePeriod{150};

  kernel::time_point Now() const { return context_.clock.Now(); }
  bool IsOutdated(const membership::upstream_announcement& announcement) const;
  bool IsSameProcess(const membership::upstream_announcement& announcement) const;
  bool NeedsHealthResponse(const membership::upstream_announcement& announcement) const;
  void Use(const membership::upstream_announcement& announcement);
  void AwaitHealthResponse(const membership::upstream_announcement& announcement);
  bool IsOpen() const;
  bool EndsInTime(const run& added) const;
  // Fills in the rank of the request and what the queue is asked.
  void PrepareSlotRequest(admission::ticket id, run& added);
  bool MayRunInVain(const run& added, const admission::slot_request& described) const;
  void UpdateCallWaits();
  void Start(admission::ticket id);
  void StartAll(const std::vector<admission::ticket>& ids);
  void StartOrHold(admission::ticket id);
  void StartHeld();
  void OnExchangeEnded(admission::ticket id, http::upstream_result result);
  void RecordEvidence(const run& ended, const run_result& result);
  // The result of a run that must not start because of crashes; empty if it may.
  std::optional<run_result> RefusalOf(const run& next) const;
  // Refuses a run that has a slot and returns true, if it must not start.
  bool RefuseAtStart(admission::ticket id);
  // Takes memory for the response of a run that has a slot. Refuses the run and returns false if
  // there is none.
  bool ReserveResponse(admission::ticket id);
  bool RunsOtherSuspect(kernel::fingerprint request) const;
  // Whether the end of a run may have been that of the upstream.
  bool MayBeCrash(const run& ended, const run_result& result) const;
  // Holds back the result of a run until it is known whether the upstream crashed.
  void Hold(admission::ticket id);
  void OnCrash(const quarantine::crash_suspects& suspects);
  void ReportCrash(const quarantine::crash_suspects& suspects);
  void FinishHeld(admission::ticket id);
  void OnCompleted(kernel::fingerprint request);
  void OnNotice(const run& ended, const upstream_notice& notice);
  void OnRateLimitKnown();
  void SetRateLimit(std::optional<kernel::request_rate> rate);
  run_result TranslateResult(const run& ended, http::upstream_result result);
  kernel::microseconds EstimateTransferTime(const route_history& route) const;
  void RecordRun(const kernel::route_name& route, kernel::microseconds run_time, std::size_t bytes);
  void RecordTimeout(const run& ended);
  // Takes a run that ends out of the counts of what runs. Does nothing if it was never started.
  void CountEnd(const run& ended);
  void Finish(admission::ticket id, run_result result);
  // Refuses requests because there is no upstream for them.
  void RefuseAll(const std::vector<admission::ticket>& ids);
  // Refuses requests that get no slot.
  void RefuseSlots(const std::vector<admission::slot_refusal>& refusals);
  // Refuses requests that can no longer end before their deadlines.
  void RefuseOverdue(const std::vector<admission::ticket>& ids);
  // Finishes a request from the loop.
  void PostFinish(admission::ticket id, const run_result& result);
  void OnConnectFailure();
  // The service whose health path is probed; empty if no probe is needed.
  std::optional<kernel::service_name> ServiceToProbe() const;
  void SendProbe();
  void OnProbeResult(const http::upstream_result& result);
  void OnHealthResponse(const kernel::upstream_id& id, const upstream_notice& notice);
  void UseWithoutAnnouncement(const kernel::upstream_id& id, const upstream_notice& notice);
  // Discards the result of a probe that has been sent.
  void DiscardProbe();
  void ScheduleProbe();
  // Refuses the queued requests if the upstream has been closed by the passing of time, as after a
  // pause of this process.
  void RefuseQueuedIfClosed();
  void StartQueueTimer();
  void OnStateChanged(std::string_view reason);
  void UpdateSlots();

  daemon_context& context_;
  const dialect_functions& dialect_;
  const bulk_sender& bulk_;
  rollout::upstream_guard* guard_ = nullptr;
  quarantine_agent* quarantine_ = nullptr;
  std::function<void()> on_change_;
  http::upstream_client client_;
  admission::slot_queue queue_;
  admission::nested_route_detector nested_routes_;
  admission::upstream_speed speed_;
  admission::route_calls calls_;
  service_wait_source service_wait_;
  queue_telemetry telemetry_;
  response_room room_;
  crash_watch crashes_;
  metrics::counter& crash_count_;
  std::map<admission::ticket, run> runs_;
  input_backlog backlog_;
  // Requests that have a slot and wait until the backlog has been read.
  std::vector<admission::ticket> held_;
  std::uint64_t next_ticket_ = 1;
  // The upstream in use: the one that announced itself last, or that a probe found.
  std::optional<membership::upstream_announcement> announced_;
  std::optional<membership::announced_upstream> last_announced_;
  announcement_trust trust_;
  // An upstream that has announced itself and is not used before it answers a probe, and when it
  // announced itself last.
  std::optional<membership::upstream_announcement> unproven_;
  kernel::time_point unproven_heard_at_;
  kernel::time_point warmed_up_at_;
  // When a response last stated a rate limit.
  kernel::time_point rate_limited_at_;
  // Whether a response has stated the rate limit or that there is none. The daemon does not know it
  // of an upstream that ran before the daemon started, unless a control host does.
  bool rate_limit_known_ = true;
  // The upstream refused connections or was replaced. Reset by the next announcement.
  bool unavailable_ = false;
  bool shutting_down_ = false;
  kernel::time_point finish_at_ = kernel::time_point::max();
  int connect_failures_ = 0;
  std::map<kernel::route_name, route_history> history_;
  // Total expected body size of the running requests with large responses.
  std::size_t expected_bytes_ = 0;
  // Number of the requests at the upstream, and of those that another upstream may have received
  // before.
  std::size_t running_ = 0;
  std::size_t running_repeated_ = 0;
  loop::timer queue_timer_;
  health_path_source health_path_;
  loop::timer probe_timer_;
  kernel::milliseconds probe_period_;
  // A probe has been sent or is scheduled.
  bool probing_ = false;
  // Identifies the probe whose result is awaited.
  std::uint64_t probe_number_ = 0;
  kernel::time_point started_at_;
  // The same start in the time of announcements.
  kernel::incarnation started_at_ms_;
};

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_PLUGINS_SIDECAR_UPSTREAM_DISPATCHER_H_
