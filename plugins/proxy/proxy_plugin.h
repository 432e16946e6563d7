#ifndef CORNELWEIR_PLUGINS_PROXY_PROXY_PLUGIN_H_
#define CORNELWEIR_PLUGINS_PROXY_PROXY_PLUGIN_H_

#include <boost/leaf.hpp>
#include <functional>
#include <memory>
#include <string_view>

#include "cornelweir/codec.h"
#include "cornelweir/http.h"
#include "plugins/daemon_context.h"
#include "plugins/proxy/control_client.h"
#include "plugins/proxy/local_upstream.h"
#include "plugins/proxy/request_router.h"
#include "plugins/proxy/subscription.h"

namespace cornelweir::plugins::proxy {

// Makes a daemon the proxy beside an upstream: holds the accepted configuration and routes
// requests by it.
class proxy_plugin {
 public:
  static constexpr std::string_view kName = "proxy";

  static boost::leaf::result<std::shared_ptr<proxy_plugin>> Create(daemon_context& context);

  explicit proxy_plugin(daemon_context& context);

  void Start();
  void BeginShutdown(std::function<void()> done);

 private:
  void ReportStatus();
  void OnChanged(const distribution::subscriber_result& result);
  void FinishShutdown();
  codec::json StatusReport() const;

  daemon_context& context_;
  http::connection_pool pool_;
  control_client control_;
  subscription configuration_;
  local_upstream local_;
  request_router router_;
  http::proxy_server<request_router> server_;
  loop::timer shutdown_timer_;
  loop::timer status_timer_;
  std::function<void()> done_;
};

}  // namespace cornelweir::plugins::proxy

#endif  // CORNELWEIR_PLUGINS_PROXY_PROXY_PLUGIN_H_
