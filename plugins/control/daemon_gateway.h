#ifndef CORNELWEIR_PLUGINS_CONTROL_DAEMON_GATEWAY_H_
#define CORNELWEIR_PLUGINS_CONTROL_DAEMON_GATEWAY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "cornelweir/distribution.h"
#include "cornelweir/kernel.h"
#include "cornelweir/loop.h"
#include "cornelweir/protocol.h"
#include "cornelweir/transport.h"

namespace cornelweir::plugins::control {

class control_plugin;

// The daemons' side of a control host: publishes the accepted table and the members to those that
// subscribe here, and takes their commands, renewals and reports.
class daemon_gateway {
 public:
  daemon_gateway(control_plugin& owner, loop::event_loop& loop, kernel::seeded_random& random);

  void Start();
  void Stop();

  // A link whose greeting named it a daemon.
  void Add(const std::shared_ptr<transport::link>& link, const protocol::hello& greeting);
  void Remove(const transport::link* link);
  // Handles a message of a link that was added.
  void Receive(const transport::link* link, const protocol::daemon_message& message);

  void PublishTable();
  void PublishMembers();
  void PublishQuarantine();

  std::vector<protocol::proxy_status> Proxies() const;
  std::size_t subscribers() const { return publisher_.size(); }
  std::uint64_t bytes_sent() const;

 private:
  struct session {
    std::shared_ptr<transport::link> link;
    distribution::subscriber_id id;
    kernel::host_id host;
    protocol::proxy_status status;
    std::size_t submissions = 0;
  };

  void On(session& from, const protocol::hello& message);
  void On(session& from, const distribution::subscribe& message);
  void On(session& from, const distribution::applied& message);
  void On(session& from, const distribution::proof_query& message);
  void On(session& from, const protocol::submit& message);
  void On(session& from, const protocol::renew& message);
  void On(session& from, const protocol::proxy_status& message);

  void Dispatch(const distribution::subscriber_actions& actions);
  void Prove(kernel::nonce question);
  void Send(const session& to, const protocol::publisher_message& message);

  control_plugin& owner_;
  kernel::seeded_random& random_;
  kernel::steady_clock_source clock_;
  loop::timer tick_timer_;
  loop::timer heartbeat_timer_;
  distribution::publisher publisher_;
  std::map<const transport::link*, session> sessions_;
  std::map<distribution::subscriber_id, const transport::link*> by_id_;
  std::uint64_t next_id_ = 1;
};

}  // namespace cornelweir::plugins::control

#endif  // CORNELWEIR_PLUGINS_CONTROL_DAEMON_GATEWAY_H_
