#include "plugins/sidecar/sidecar_node.h"

#include <memory>
#include <utility>

#include "cornelweir/logging.h"

namespace cornelweir::plugins::sidecar {
namespace internal {

// Callers notice within this time that the daemon is not ready, and stay away.
constexpr kernel::milliseconds kCallersNotice{2'300};
constexpr kernel::milliseconds kIdleCheckPeriod{50};
// Kept free at the end of the time for a graceful shutdown.
constexpr kernel::milliseconds kShutdownReserve{500};
constexpr kernel::milliseconds kMetricsPeriod{1'000};

http::pipeline_limits LimitsOf(const policy::caller_limits& limits) {
  http::pipeline_limits translated;
  translated.header_bytes = static_cast<std::size_t>(limits.max_header_bytes);
  translated.body_bytes = static_cast<std::uint64_t>(limits.max_body_bytes);
  translated.header_timeout = limits.header_timeout;
  translated.idle_timeout = limits.idle_timeout;
  return translated;
}

}  // namespace internal

sidecar_node::sidecar_node(daemon_context& context, const dialect_functions& dialect)
    : context_(context),
      dialect_(dialect),
      bulk_(context),
      gate_(context, dialect_, bulk_, [this] { OnUpstreamChanged(); }),
      feed_(context,
            control_feed::handlers{.policy_changed = [this] { OnPolicy(); },
                                   .roster_changed = [this] { peers_.Update(feed_.roster()); },
                                   .service = [this] { return gate_.service(); }}),
      peers_(context, gate_),
      peer_server_(context, gate_, bulk_),
      router_(context, dialect_, peers_, gate_),
      callers_(
          context.loop, [this](const auto& request) { router_.Handle(request); },
          dialect.reject_unreadable),
      readiness_(context.loop),
      announcements_(context.loop),
      shutdown_timer_(context.loop),
      metrics_timer_(context.loop) {
  readiness_.Handle(http::method::get, dialect_.readiness_path,
                    [this](const http::admin_request&, http::admin_reply reply) {
                      http::admin_response response;
                      response.status = IsReady() ? 200 : 503;
                      reply(std::move(response));
                    });
  dialect_.serve_announcements(
      announcements_,
      [this](const membership::upstream_announcement& announcement) {
        return gate_.Announce(announcement);
      },
      [this](const kernel::upstream_id& id) { gate_.Withdraw(id); });
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
  feed_.Start();
  peers_.Start();
  metrics_timer_.StartPeriodic(internal::kMetricsPeriod, [this] { ReportMetrics(); });
}

void sidecar_node::OnPolicy() {
  router_.SetPolicy(feed_.policy());
  callers_.SetLimits(internal::LimitsOf(feed_.policy()->limits));
  NoteReadiness();
  for (const policy::service& listed : feed_.policy()->services) {
    if (listed.name != gate_.service() || probing_) continue;
    probing_ = true;
    gate_.ProbeUntilAnnounced(listed.health_path);
  }
}

void sidecar_node::OnUpstreamChanged() {
  peer_server_.ReportUpstream();
  feed_.Report();
}

void sidecar_node::NoteReadiness() {
  if (IsReady() == was_ready_) return;
  was_ready_ = IsReady();
  logging::event(logging::event_id::kReadinessChanged).With("ready", was_ready_);
}

void sidecar_node::ReportMetrics() {
  metrics::metrics_registry& metrics = context_.metrics;
  const protocol::upstream_load load = gate_.Load();
  const auto set = [&](const char* name, const char* help, double value) {
    metrics.Gauge(name, help, {}).Set(value);
  };
  set("cornelweir_policy_version", "Policy in force",
      feed_.policy() ? static_cast<double>(feed_.policy()->version.value()) : 0);
  set("cornelweir_upstream_slots", "Slots of the upstream", static_cast<double>(load.slots));
  set("cornelweir_upstream_in_progress", "Requests at the upstream",
      static_cast<double>(load.in_progress));
  set("cornelweir_upstream_queued", "Requests that wait for the upstream",
      static_cast<double>(load.queued));
  set("cornelweir_peers", "Known daemons", static_cast<double>(peers_.size()));
  set("cornelweir_caller_connections", "Open connections of callers",
      static_cast<double>(callers_.connections()));
  set("cornelweir_upstream_connections_opened", "Connections opened to the upstream",
      static_cast<double>(gate_.connections_opened()));
}

// Not ready at once, so that callers stay away; what comes meanwhile is served as before. Then the
// upstream here is closed for others, and the process ends when nothing is in progress.
void sidecar_node::BeginShutdown(std::function<void()> done) {
  done_ = std::move(done);
  shutting_down_ = true;
  shutdown_at_ = context_.clock.Now();
  NoteReadiness();
  callers_.DisableKeepAlive();
  shutdown_timer_.Start(internal::kCallersNotice, [this] { LeaveService(); });
}

void sidecar_node::LeaveService() {
  gate_.BeginShutdown();
  feed_.BeginShutdown();
  callers_.BeginDrain([this] { callers_drained_ = true; });
  shutdown_timer_.StartPeriodic(internal::kIdleCheckPeriod, [this] { FinishWhenIdle(); });
}

void sidecar_node::FinishWhenIdle() {
  const kernel::microseconds limit =
      kernel::milliseconds(context_.settings.sidecar->shutdown_ms) - internal::kShutdownReserve;
  const bool idle = callers_drained_ && router_.in_progress() == 0 && !gate_.busy() && bulk_.idle();
  if (idle || context_.clock.Now() - shutdown_at_ > limit) Finish();
}

void sidecar_node::Finish() {
  shutdown_timer_.Cancel();
  metrics_timer_.Cancel();
  feed_.Stop();
  peers_.Stop();
  peer_server_.Close();
  context_.loop.Post(std::move(done_));
}

}  // namespace cornelweir::plugins::sidecar
