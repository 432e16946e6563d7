#include <boost/leaf.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
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
      ReportMemory();
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
  void ReportMemory() {
    const memory::memory_account& account = *context_.memory;
    metrics::metrics_registry& metrics = context_.metrics;
    metrics.Gauge("cornelweir_memory_limit_bytes", "Bytes that the process may hold for others", {})
        .Set(static_cast<double>(account.limit().value()));
    for (std::size_t i = 0; i < memory::kMemoryUses; ++i) {
      const auto use = static_cast<memory::memory_use>(i);
      const metrics::label_list labels{{"use", std::string(memory::UseName(use))}};
      metrics
          .Gauge("cornelweir_memory_held_bytes", "Bytes that the process holds for others", labels)
          .Set(static_cast<double>(account.taken(use).value()));
      metrics
          .Gauge("cornelweir_memory_refusals", "Times that there was no room, since the start",
                 labels)
          .Set(static_cast<double>(account.refusals(use)));
    }
  }

  daemon_context& context_;
};

namespace {
const daemon_plugin_registration<metrics_plugin> kRegistered{};
}  // namespace

}  // namespace cornelweir::plugins::metrics_endpoint
