#ifndef CORNELWEIR_PLUGINS_SIDECAR_CONTROL_FEED_H_
#define CORNELWEIR_PLUGINS_SIDECAR_CONTROL_FEED_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "cornelweir/kernel.h"
#include "cornelweir/loop.h"
#include "cornelweir/membership.h"
#include "cornelweir/policy.h"
#include "cornelweir/protocol.h"
#include "cornelweir/transport.h"
#include "plugins/daemon_context.h"

namespace cornelweir::plugins::sidecar {

// The daemon's link to one control host at a time. It leaves a host that is silent or says that it
// is not current, and never takes a policy older than the one it has.
class control_feed {
 public:
  struct handlers {
    std::function<void()> policy_changed;
    std::function<void()> roster_changed;
    // What the daemon says of itself.
    std::function<kernel::service_name()> service;
  };

  control_feed(daemon_context& context, handlers callbacks);

  void Start();
  void Stop();
  // Tells the control host that something about this daemon has changed.
  void Report();
  void BeginShutdown();

  // Null before the first policy.
  const std::shared_ptr<const policy::policy_table>& policy() const { return policy_; }
  const std::map<kernel::endpoint, membership::roster_entry>& roster() const { return roster_; }
  kernel::endpoint self() const { return context_.settings.sidecar->peers_listen; }

 private:
  kernel::time_point Now() const { return context_.clock.Now(); }
  void Tick();
  void Connect();
  void Leave(const std::string& reason);
  // Appends the seeds to the hosts to try.
  void AddSeeds();
  kernel::endpoint NextHost();
  kernel::microseconds OpenPatience() const;
  void OnMessage(std::string_view payload);
  void OnUpdate(const protocol::fleet_update& update);
  void ApplyPolicy(const policy::policy_delta& delta);
  void ApplyRoster(const protocol::fleet_update& update);

  daemon_context& context_;
  handlers handlers_;
  loop::timer timer_;
  std::vector<kernel::endpoint> hosts_;
  std::size_t next_host_ = 0;
  kernel::endpoint host_;
  std::shared_ptr<transport::link> link_;
  std::shared_ptr<bool> alive_;
  bool opened_ = false;
  // Links in a row that no host opened.
  std::size_t failed_attempts_ = 0;
  // When the host was last known to be current, or busy with sending.
  kernel::time_point current_at_;
  std::uint64_t bytes_seen_ = 0;
  kernel::time_point reported_at_;
  kernel::time_point retry_at_;
  std::shared_ptr<const policy::policy_table> policy_;
  std::map<kernel::endpoint, membership::roster_entry> roster_;
  kernel::incarnation incarnation_;
  std::uint64_t sequence_ = 0;
  bool leaving_ = false;
};

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_PLUGINS_SIDECAR_CONTROL_FEED_H_
