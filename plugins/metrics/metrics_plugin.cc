#include <boost/leaf.hpp>
#include <functional>
#include <memory>
#include <string_view>
#include <utility>

#include "plugins/daemon_context.h"

namespace cornelweir::plugins::metrics_endpoint {

// Serves /metrics with the metrics of the process, and /healthz, which answers while the event loop
// runs.
class metrics_plugin {
 public:
  static constexpr std::string_view kName = "metrics";

  static boost::leaf::result<std::shared_ptr<metrics_plugin>> Create(daemon_context& context) {
    return std::make_shared<metrics_plugin>(context);
  }

  explicit metrics_plugin(daemon_context& context) : context_(context) {
    const auto get = [&context](std::string_view path, http::admin_server::handler handler) {
      context.admin.Handle(http::method::get, path, std::move(handler));
    };
    get("/metrics", [this](const http::admin_request&, http::admin_reply reply) {
      http::admin_response response;
      response.content_type = "text/plain; version=0.0.4";
      response.body = context_.metrics.Render();
      reply(std::move(response));
    });
    get("/healthz", [](const http::admin_request&, http::admin_reply reply) {
      http::admin_response response;
      response.body = "{\"alive\":true}\n";
      reply(std::move(response));
    });
  }

  void Start() {}
  void BeginShutdown(std::function<void()> done) { context_.loop.Post(std::move(done)); }

 private:
  daemon_context& context_;
};

namespace {
const daemon_plugin_registration<metrics_plugin> kRegistered{};
}  // namespace

}  // namespace cornelweir::plugins::metrics_endpoint
