#ifndef CORNELWEIR_PLUGINS_SIDECAR_SIDECAR_PLUGIN_H_
#define CORNELWEIR_PLUGINS_SIDECAR_SIDECAR_PLUGIN_H_

#include <boost/leaf.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "plugins/daemon_context.h"
#include "plugins/sidecar/request_dialect.h"
#include "plugins/sidecar/sidecar_node.h"

namespace cornelweir::plugins::sidecar {

// Plug-in of a sidecar daemon whose callers and upstreams use the dialect.
template <request_dialect Dialect>
class sidecar_plugin {
 public:
  static constexpr std::string_view kName = Dialect::kName;

  // Fails with a plugin_error if the sidecar settings are missing, or if listening fails.
  static boost::leaf::result<std::shared_ptr<sidecar_plugin>> Create(daemon_context& context) {
    if (!context.settings.sidecar) {
      std::string reason("the settings 'sidecar' are missing; needed by ");
      reason.append(kName);
      return boost::leaf::new_error(plugin_error{std::move(reason)});
    }
    auto plugin = std::make_shared<sidecar_plugin>(context);
    BOOST_LEAF_CHECK(plugin->node_.Listen());
    return plugin;
  }

  explicit sidecar_plugin(daemon_context& context) : node_(context, FunctionsOf<Dialect>()) {}

  void Start() { node_.Start(); }
  void BeginShutdown(std::function<void()> done) { node_.BeginShutdown(std::move(done)); }

 private:
  sidecar_node node_;
};

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_PLUGINS_SIDECAR_SIDECAR_PLUGIN_H_
