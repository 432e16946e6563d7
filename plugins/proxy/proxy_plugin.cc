#include "plugins/proxy/proxy_plugin.h"

#include <string>
#include <utility>

#include "cornelweir/shutdown.h"

namespace cornelweir::plugins::proxy {
namespace internal {

using codec::json;

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

http::admin_response JsonResponse(int status, const json& body) {
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
  BOOST_LEAF_CHECK(plugin->subscription_.Listen());
  BOOST_LEAF_CHECK(plugin->server_.Listen(context.settings.proxy->data_listen));
  return plugin;
}

proxy_plugin::proxy_plugin(daemon_context& context)
    : context_(context),
      pool_(context.loop, internal::PoolLimits(*context.settings.proxy)),
      control_client_(
          context, control_client::handlers{.quarantine_updated =
                                                [this](const protocol::quarantine_update& update) {
                                                  router_.ReplaceQuarantine(update.requests);
                                                },
                                            .opened = [this] { ReportStatus(); }}),
      subscription_(
          context,
          subscription::handlers{
              .state_changed = [this](const auto& result) { OnSubscriptionChange(result); },
              .publisher_contact = [this] { local_upstream_.OnPublisherContact(); }}),
      local_upstream_(context, control_client_, subscription_),
      router_(context, control_client_, subscription_, local_upstream_, pool_),
      server_(context.loop, pool_, router_, internal::ServerLimits(*context.settings.proxy),
              context.memory),
      shutdown_timer_(context.loop),
      status_timer_(context.loop) {
  context_.admin.Handle(http::method::get, "/v1/proxy",
                        [this](const http::admin_request&, http::admin_reply reply) {
                          reply(internal::JsonResponse(200, StatusJson()));
                        });
  context_.admin.Handle(
      http::method::get, "/readyz", [this](const http::admin_request&, http::admin_reply reply) {
        const bool ready = subscription_.subscriber().ready();
        reply(internal::JsonResponse(ready ? 200 : 503, internal::json{{"ready", ready}}));
      });
}

void proxy_plugin::Start() {
  control_client_.Start();
  subscription_.Start();
  local_upstream_.Start();
  status_timer_.StartPeriodic(internal::kStatusPeriod, [this] { ReportStatus(); });
}

void proxy_plugin::ReportStatus() {
  const distribution::subscriber& subscriber = subscription_.subscriber();
  control_client_.Report({context_.settings.host, subscriber.service(), subscriber.version(),
                          subscriber.revision(), subscriber.ready()});
}

void proxy_plugin::OnSubscriptionChange(const distribution::subscriber_result& result) {
  if (result.version_changed || result.members_changed) {
    router_.Configure();
    local_upstream_.Configure();
  }
  if (result.version_changed || result.became_ready) ReportStatus();
}

void proxy_plugin::BeginShutdown(std::function<void()> done) {
  shutdown_done_ = std::move(done);
  local_upstream_.BeginDrain();
  shutdown_timer_.Start(shutdown::kDrainPropagationTime, [this] {
    router_.BeginDrain();
    server_.BeginDrain([this] { FinishShutdown(); });
  });
}

void proxy_plugin::FinishShutdown() {
  local_upstream_.Leave();
  shutdown_timer_.Start(shutdown::kLeaveTime, [this] {
    status_timer_.Cancel();
    subscription_.Stop();
    control_client_.Stop();
    local_upstream_.Stop();
    shutdown_done_();
  });
}

codec::json proxy_plugin::StatusJson() const {
  const distribution::subscriber& subscriber = subscription_.subscriber();
  internal::json applied = internal::json::array();
  for (const applied_version& entry : subscription_.applied_versions()) {
    applied.push_back({{"version", entry.version.value()}, {"applied_at_us", entry.applied_at_us}});
  }
  const auto& record = local_upstream_.record();
  return internal::json{
      {"host", context_.settings.host.value()},
      {"service", subscriber.service().value()},
      {"ready", subscriber.ready()},
      {"version", subscriber.version().value()},
      {"revision", subscriber.revision().value()},
      {"rows", subscriber.rows().size()},
      {"members", subscriber.members().size()},
      {"upstream", record ? internal::json(record->id.value()) : nullptr},
      {"in_progress", local_upstream_.in_progress().value()},
      {"control_bytes_received", subscription_.bytes_received() + control_client_.bytes_received()},
      {"control_bytes_sent", subscription_.bytes_sent() + control_client_.bytes_sent()},
      {"publisher", subscription_.publisher().value()},
      {"children", subscription_.children()},
      {"bytes_sent_to_children", subscription_.bytes_sent_to_children()},
      {"applied", std::move(applied)}};
}

namespace {
const daemon_plugin_registration<proxy_plugin> kRegistration{};
}  // namespace

}  // namespace cornelweir::plugins::proxy
