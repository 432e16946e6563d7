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

// The proxy role of a daemon: subscribes to the accepted configuration and routes requests by it,
// to the upstream on this host and to other daemons.
class proxy_plugin {
 public:
  static constexpr std::string_view kName = "proxy";

  // Opens the listeners. Fails with a plugin_error if the settings lack the proxy section.
  static boost::leaf::result<std::shared_ptr<proxy_plugin>> Create(daemon_context& context);

  explicit proxy_plugin(daemon_context& context);

  void Start();
  // Drains the upstream and the server, leaves the membership, then calls done.
  void BeginShutdown(std::function<void()> done);

 private:
  void ReportStatus();
  void OnSubscriptionChange(const distribution::subscriber_result& result);
  void FinishShutdown();
  codec::json StatusJson() const;

  daemon_context& context_;
  http::connection_pool pool_;
  control_client control_client_;
  subscription subscription_;
  local_upstream local_upstream_;
  request_router router_;
  http::proxy_server<request_router> server_;
  loop::timer shutdown_timer_;
  loop::timer status_timer_;
  std::function<void()> shutdown_done_;
};

}  // namespace cornelweir::plugins::proxy

#endif  // CORNELWEIR_PLUGINS_PROXY_PROXY_PLUGIN_H_
