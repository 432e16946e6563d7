#include "plugins/sidecar/sidecar_node.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <utility>

#include "cornelweir/logging.h"
#include "cornelweir/shutdown.h"

namespace cornelweir::plugins::sidecar {
namespace internal {

// How often the phases of a stop are advanced.
constexpr kernel::milliseconds kStopCheckPeriod{50};
constexpr kernel::milliseconds kMetricsPeriod{1'000};

http::pipeline_limits ToPipelineLimits(const policy::caller_limits& limits) {
  http::pipeline_limits translated;
  translated.header_bytes = static_cast<std::size_t>(limits.max_header_bytes);
  translated.body_bytes =
      std::min(static_cast<std::uint64_t>(limits.max_body_bytes), translated.body_bytes);
  translated.header_timeout = limits.header_timeout;
  translated.idle_timeout = limits.idle_timeout;
  return translated;
}

}  // namespace internal

sidecar_node::sidecar_node(daemon_context& context, const dialect_functions& dialect)
    : context_(context),
      dialect_(dialect),
      bulk_(context),
      dispatcher_(context, dialect_, bulk_, [this] { OnUpstreamChanged(); }),
      quarantine_(context, quarantine_agent::handlers{
                               .service = [this] { return dispatcher_.service(); },
                               .send_to_service =
                                   [this](const protocol::data_message& notice) {
                                     peers_.SendToService(dispatcher_.service(), notice);
                                   },
                               .send_to_control_host =
                                   [this](const protocol::quarantine_report& report) {
                                     control_client_.Report(report);
                                   },
                               .ready = [this] { dispatcher_.OnQuarantineReady(); }}),
      rollouts_(context, dispatcher_,
                [this](const rollout::rollout_sample& sample) { control_client_.Report(sample); }),
      control_client_(
          context,
          control_client::handlers{
              .policy_changed = [this] { OnPolicyChanged(); },
              .policy_confirmed =
                  [this](kernel::time_point confirmed_at) {
                    router_.OnPolicyConfirmed(confirmed_at);
                  },
              .roster_changed = [this] { peers_.Update(control_client_.roster()); },
              .service = [this] { return dispatcher_.service(); },
              .last_upstream = [this] { return dispatcher_.LastAnnounced(); },
              .upstream_restored =
                  [this](const membership::announced_upstream& upstream) {
                    dispatcher_.Restore(upstream);
                  },
              .link_changed = [this](bool open) { quota_.OnLinkChanged(open); },
              .quota_granted = [this](const quota::quota_grant& grant) { quota_.OnGrant(grant); },
              .rollouts_received =
                  [this](const std::vector<rollout::rollout_record>& records) {
                    rollouts_.Apply(records);
                  },
              .rollouts_revision = [this] { return rollouts_.table().revision(); },
              .quarantine_received =
                  [this](const std::vector<quarantine::quarantined_fingerprint>& list) {
                    quarantine_.OnList(list);
                  },
              .confirmed = [this] { rollouts_.OnConfirmed(); }}),
      quota_(context,
             [this](const auto& request) { return control_client_.RequestQuota(request); }),
      peers_(context, dispatcher_, bulk_),
      peer_server_(context, dispatcher_, bulk_),
      router_(context, dialect_, peers_, dispatcher_, quota_),
      callers_(
          context.loop, [this](const auto& request) { router_.Handle(request); },
          dialect.reject_unreadable),
      readiness_(context.loop),
      announcements_(context.loop),
      shutdown_timer_(context.loop),
      metrics_timer_(context.loop),
      traffic_(context.metrics) {
  peers_.UseRollouts(rollouts_.table());
  peers_.OnPeerOpened([this](peer& daemon) { OnPeerOpened(daemon); });
  dispatcher_.UseQuarantine(quarantine_);
  dispatcher_.SetHealthPathSource(
      [this](const kernel::service_name& service) { return HealthPathOf(service); });
  peer_server_.UseQuarantine(quarantine_);
  router_.UseQuarantine(quarantine_);
  callers_.UseMemory(context_.memory);
  readiness_.Handle(http::method::get, dialect_.readiness_path,
                    [this](const http::admin_request&, http::admin_reply reply) {
                      http::admin_response response;
                      response.status = IsReady() ? 200 : 503;
                      reply(std::move(response));
                    });
  dispatcher_.SetServiceWaitSource(
      [this](const kernel::service_name& service) { return peers_.ServiceWait(service); });
  dialect_.serve_announcements(
      announcements_,
      [this](const membership::upstream_announcement& announcement) {
        return dispatcher_.Announce(announcement);
      },
      [this](const kernel::upstream_id& id) { dispatcher_.Withdraw(id, "withdrawn"); });
}

boost::leaf::result<void> sidecar_node::Listen() {
  const settings::sidecar_settings& settings = *context_.settings.sidecar;
  BOOST_LEAF_CHECK(peer_server_.Listen());
  BOOST_LEAF_CHECK(announcements_.Listen(settings.announce_listen));
  BOOST_LEAF_CHECK(readiness_.Listen(settings.readiness_listen));
  BOOST_LEAF_CHECK(callers_.Listen(settings.callers_listen));
  return {};
}

void sidecar_node::Start() {
  quarantine_.Start();
  control_client_.Start();
  peers_.Start();
  metrics_timer_.StartPeriodic(internal::kMetricsPeriod, [this] { ReportMetrics(); });
}

void sidecar_node::OnPolicyChanged() {
  router_.SetPolicy(control_client_.policy());
  callers_.SetLimits(internal::ToPipelineLimits(control_client_.policy()->limits));
  LogReadinessChange();
  dispatcher_.StartProbing();
}

std::string sidecar_node::HealthPathOf(const kernel::service_name& service) const {
  if (!control_client_.policy()) return {};
  const auto& services = control_client_.policy()->services;
  const auto found = std::find_if(services.begin(), services.end(),
                                  [&](const auto& candidate) { return candidate.name == service; });
  return found == services.end() ? std::string() : found->health_path;
}

void sidecar_node::OnUpstreamChanged() {
  rollouts_.OnUpstreamChanged();
  peer_server_.ReportUpstream();
  control_client_.Report();
}

// A daemon of this service takes requests only once it has such a notice, even an empty one.
void sidecar_node::OnPeerOpened(peer& daemon) {
  const kernel::service_name& service = daemon.entry().service;
  const protocol::quarantine_notice notice = quarantine_.NoticeFor(service);
  if (service == dispatcher_.service() || !notice.entries.empty()) daemon.SendNotice(notice);
}

void sidecar_node::LogReadinessChange() {
  if (IsReady() == was_ready_) return;
  was_ready_ = IsReady();
  logging::event(logging::event_id::kReadinessChanged).With("ready", was_ready_);
}

void sidecar_node::ReportMetrics() {
  metrics::metrics_registry& metrics = context_.metrics;
  const protocol::upstream_load load = peer_server_.Load();
  const auto set = [&](const char* name, const char* help, double value) {
    metrics.Gauge(name, help, {}).Set(value);
  };
  set("cornelweir_policy_version", "Policy in force",
      control_client_.policy() ? static_cast<double>(control_client_.policy()->version.value())
                               : 0);
  set("cornelweir_control_update_age_seconds",
      "Time since a control host confirmed that its state is the newest, or since the start",
      std::chrono::duration<double>(control_client_.SinceConfirmed()).count());
  set("cornelweir_upstream_slots", "Slots of the upstream that requests can use",
      static_cast<double>(load.slots));
  set("cornelweir_upstream_in_progress", "Requests at the upstream",
      static_cast<double>(load.in_progress));
  set("cornelweir_upstream_queued", "Requests that wait for the upstream",
      static_cast<double>(load.queued));
  set("cornelweir_upstream_rate_limit",
      "Requests a second that the upstream takes, 0 if it states no limit",
      dispatcher_.RequestsPerSecond());
  set("cornelweir_inbound_body_bytes", "Bytes of announced request bodies that have not arrived",
      static_cast<double>(load.missing_body_bytes));
  set("cornelweir_inbound_body_rate",
      "Bytes a second at which large request bodies arrive, 0 if unknown",
      static_cast<double>(load.body_bytes_per_second));
  set("cornelweir_peers", "Known daemons", static_cast<double>(peers_.size()));
  set("cornelweir_caller_connections", "Open connections of callers",
      static_cast<double>(callers_.connections()));
  set("cornelweir_upstream_connections_opened", "Connections opened to the upstream",
      static_cast<double>(dispatcher_.connections_opened()));
  ReportSlowReaders();
  traffic_.Report(callers_.traffic(), context_.clock.Now());
}

void sidecar_node::ReportSlowReaders() {
  const http::slow_reader_counts& closed = callers_.slow_readers();
  const std::uint64_t added = closed.total() - slow_readers_.total();
  context_.metrics
      .Counter("cornelweir_slow_readers_closed_total",
               "Connections closed because their callers read too slowly", {})
      .Increment(added);
  if (added == 0) return;
  logging::event(logging::event_id::kSlowReadersClosed)
      .With("scarce_memory", closed.scarce_memory - slow_readers_.scarce_memory)
      .With("no_progress", closed.no_progress - slow_readers_.no_progress);
  slow_readers_ = closed;
}

// Reports not ready at once, so that callers stop sending requests. Every connection takes one more
// request at most and is told to close.
void sidecar_node::BeginShutdown(std::function<void()> done) {
  done_ = std::move(done);
  stop_.Begin(context_.clock.Now(), context_.stop_at);
  LogReadinessChange();
  router_.BeginStop(stop_.finish_at());
  dispatcher_.RefuseRunsBeyond(stop_.finish_at());
  callers_.DisableKeepAlive();
  shutdown_timer_.StartPeriodic(internal::kStopCheckPeriod, [this] { AdvanceStop(); });
  AdvanceStop();
}

shutdown::stop_work sidecar_node::Work() const {
  shutdown::stop_work work;
  work.in_progress = router_.in_progress() > 0 || dispatcher_.busy() || !bulk_.idle();
  work.callers_connected = callers_.connections() > 0;
  work.last_request_at = router_.last_request_at();
  return work;
}

void sidecar_node::AdvanceStop() {
  const shutdown::stop_phase before = stop_.phase();
  const shutdown::stop_phase now = stop_.Advance(context_.clock.Now(), Work());
  if (now == before) return;
  if (now == shutdown::stop_phase::kDraining) {
    StopAccepting();
    AdvanceStop();
  } else if (now == shutdown::stop_phase::kClosing) {
    Finish();
  }
}

void sidecar_node::StopAccepting() {
  dispatcher_.BeginShutdown();
  control_client_.BeginShutdown();
  callers_.BeginDrain([] {});
}

void sidecar_node::Finish() {
  shutdown_timer_.Cancel();
  metrics_timer_.Cancel();
  router_.EndAll();
  control_client_.Stop();
  rollouts_.Stop();
  quarantine_.Stop();
  peers_.Stop();
  peer_server_.CloseAfterDrain(std::move(done_));
}

}  // namespace cornelweir::plugins::sidecar
