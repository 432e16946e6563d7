#ifndef CORNELWEIR_PLUGINS_CONTROL_FLEET_FEED_H_
#define CORNELWEIR_PLUGINS_CONTROL_FLEET_FEED_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "cornelweir/kernel.h"
#include "cornelweir/loop.h"
#include "cornelweir/membership.h"
#include "cornelweir/policy.h"
#include "cornelweir/protocol.h"
#include "cornelweir/transport.h"

namespace cornelweir::plugins::control {

class control_plugin;

// Keeps the daemons that are connected to this host informed: the accepted policy, the other
// daemons, the other control hosts, and whether this host is current.
class fleet_feed {
 public:
  fleet_feed(control_plugin& owner, loop::event_loop& loop);

  void Start();
  void Stop();

  void Add(const std::shared_ptr<transport::link>& link);
  void Remove(const transport::link* link) { daemons_.erase(link); }
  bool Serves(const transport::link* link) const { return daemons_.contains(link); }
  void Receive(const transport::link* link, std::string_view payload);
  // Reports that another control host received.
  void Receive(const protocol::roster_share& shared);

  // Another policy was accepted.
  void PublishPolicy();

  bool current() const { return current_; }
  std::size_t size() const { return daemons_.size(); }

 private:
  struct session {
    std::shared_ptr<transport::link> link;
    std::optional<membership::roster_entry> entry;
    // Set by the first report; what the daemon holds or was sent since.
    std::optional<kernel::policy_version> held;
    std::uint64_t roster_revision = 0;
    std::vector<kernel::endpoint> control_hosts;
    kernel::incarnation needed;
    kernel::time_point sent_at;
  };

  void Tick();
  void ObserveRounds();
  void Share();
  void Update(session& to, bool heartbeat);
  const std::string& PolicyMessageFor(kernel::policy_version held);
  std::vector<kernel::endpoint> ControlHosts() const;

  control_plugin& owner_;
  kernel::steady_clock_source clock_;
  loop::timer timer_;
  std::map<const transport::link*, session> daemons_;
  membership::roster roster_;
  kernel::time_point shared_at_;
  // The latest heartbeat round that a majority confirmed, and when this host first saw it.
  kernel::heartbeat_round round_;
  kernel::time_point round_at_;
  bool current_ = false;
  // Policies that daemons are known to hold, for deltas between them and the newest.
  std::map<kernel::policy_version, std::shared_ptr<const policy::policy_table>> recent_;
  // The encoded messages that lead from what daemons hold to the newest policy. A herd of daemons
  // gets the same bytes.
  std::map<kernel::policy_version, std::string> policy_messages_;
};

}  // namespace cornelweir::plugins::control

#endif  // CORNELWEIR_PLUGINS_CONTROL_FLEET_FEED_H_
