#include "plugins/proxy/proxy_plugin.h"

#include <string>
#include <utility>

namespace cornelweir::plugins::proxy {
namespace internal {

using codec::json;

// Other daemons learn within this time that the upstream here is draining. Until then they may
// still pass requests on, which are refused as not run and go elsewhere.
constexpr kernel::milliseconds kDrainNotice{1'000};
// Time for the last messages to the control host.
constexpr kernel::milliseconds kLeaveNotice{100};
constexpr kernel::milliseconds kStatusPeriod{1'000};

http::pool_limits PoolLimits(const settings::proxy_settings& settings) {
  http::pool_limits limits;
  limits.connections = static_cast<std::size_t>(settings.max_connections_per_peer);
  return limits;
}

http::proxy_limits ServerLimits(const settings::proxy_settings& settings) {
  http::proxy_limits limits;
  limits.body_bytes = static_cast<std::uint64_t>(settings.max_body_bytes);
  return limits;
}

http::admin_response Response(int status, const json& body) {
  http::admin_response response;
  response.status = status;
  response.body = body.dump() + "\n";
  return response;
}

}  // namespace internal

boost::leaf::result<std::shared_ptr<proxy_plugin>> proxy_plugin::Create(daemon_context& context) {
  if (!context.settings.proxy) {
    return boost::leaf::new_error(plugin_error{"the plug-in 'proxy' needs the settings 'proxy'"});
  }
  auto plugin = std::make_shared<proxy_plugin>(context);
  BOOST_LEAF_CHECK(plugin->configuration_.Listen());
  BOOST_LEAF_CHECK(plugin->server_.Listen(context.settings.proxy->data_listen));
  return plugin;
}

proxy_plugin::proxy_plugin(daemon_context& context)
    : context_(context),
      pool_(context.loop, internal::PoolLimits(*context.settings.proxy)),
      control_(context,
               control_client::handlers{.quarantined =
                                            [this](const protocol::quarantine_update& list) {
                                              router_.OnQuarantined(list.requests);
                                            },
                                        .opened = [this] { ReportStatus(); }}),
      configuration_(context, subscription::handlers{
                                  .changed = [this](const auto& result) { OnChanged(result); },
                                  .contact = [this] { local_.OnContact(); }}),
      local_(context, control_, configuration_),
      router_(context, control_, configuration_, local_, pool_),
      server_(context.loop, pool_, router_, internal::ServerLimits(*context.settings.proxy)),
      shutdown_timer_(context.loop),
      status_timer_(context.loop) {
  context_.admin.Handle(http::method::get, "/v1/proxy",
                        [this](const http::admin_request&, http::admin_reply reply) {
                          reply(internal::Response(200, StatusReport()));
                        });
  context_.admin.Handle(
      http::method::get, "/readyz", [this](const http::admin_request&, http::admin_reply reply) {
        const bool ready = configuration_.held().ready();
        reply(internal::Response(ready ? 200 : 503, internal::json{{"ready", ready}}));
      });
}

void proxy_plugin::Start() {
  control_.Start();
  configuration_.Start();
  local_.Start();
  status_timer_.StartPeriodic(internal::kStatusPeriod, [this] { ReportStatus(); });
}

void proxy_plugin::ReportStatus() {
  const distribution::subscriber& held = configuration_.held();
  control_.Report(
      {context_.settings.host, held.service(), held.version(), held.revision(), held.ready()});
}

void proxy_plugin::OnChanged(const distribution::subscriber_result& result) {
  if (result.version_changed || result.members_changed) {
    router_.Configure();
    local_.Configure();
  }
  if (result.version_changed || result.became_ready) ReportStatus();
}

void proxy_plugin::BeginShutdown(std::function<void()> done) {
  done_ = std::move(done);
  local_.BeginDrain();
  shutdown_timer_.Start(internal::kDrainNotice, [this] {
    router_.BeginDrain();
    server_.BeginDrain([this] { FinishShutdown(); });
  });
}

void proxy_plugin::FinishShutdown() {
  local_.Leave();
  shutdown_timer_.Start(internal::kLeaveNotice, [this] {
    status_timer_.Cancel();
    configuration_.Stop();
    control_.Stop();
    local_.Stop();
    done_();
  });
}

codec::json proxy_plugin::StatusReport() const {
  const distribution::subscriber& held = configuration_.held();
  internal::json applied = internal::json::array();
  for (const applied_version& version : configuration_.applied_versions()) {
    applied.push_back(
        {{"version", version.version.value()}, {"applied_at_us", version.applied_at_us}});
  }
  const auto& record = local_.record();
  return internal::json{
      {"host", context_.settings.host.value()},
      {"service", held.service().value()},
      {"ready", held.ready()},
      {"version", held.version().value()},
      {"revision", held.revision().value()},
      {"rows", held.rows().size()},
      {"members", held.members().size()},
      {"upstream", record ? internal::json(record->id.value()) : nullptr},
      {"in_progress", local_.in_progress().value()},
      {"control_bytes_received", configuration_.bytes_received() + control_.bytes_received()},
      {"control_bytes_sent", configuration_.bytes_sent() + control_.bytes_sent()},
      {"publisher", configuration_.publisher().value()},
      {"children", configuration_.children()},
      {"bytes_sent_to_children", configuration_.bytes_sent_to_children()},
      {"applied", std::move(applied)}};
}

namespace {
const daemon_plugin_registration<proxy_plugin> kRegistered{};
}  // namespace

}  // namespace cornelweir::plugins::proxy
