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

// Serves the daemons that are connected to a control host: publishes the accepted table, the
// members and the quarantine to them and handles their commands, renewals and reports.
class daemon_gateway {
 public:
  daemon_gateway(control_plugin& owner, loop::event_loop& loop, kernel::seeded_random& random);

  void Start();
  void Stop();

  // Adds a session for a link whose greeting named a daemon, and sends it the quarantine.
  void Add(const std::shared_ptr<transport::link>& link, const protocol::hello& greeting);
  void Remove(const transport::link* link);
  // Handles a message of an added link. Messages of other links are ignored.
  void Receive(const transport::link* link, const protocol::daemon_message& message);

  void PublishTable();
  void PublishMembers();
  void PublishQuarantine();

  // Returns the latest status of each connected daemon that has sent one.
  std::vector<protocol::proxy_status> Proxies() const;
  std::size_t subscribers() const { return publisher_.size(); }
  // Bytes sent on the links that are open now.
  std::uint64_t bytes_sent() const;

 private:
  struct session {
    std::shared_ptr<transport::link> link;
    distribution::subscriber_id id;
    kernel::host_id host;
    protocol::proxy_status status;
    std::size_t submissions = 0;
  };

  void HandleMessage(session& sender, const protocol::hello& message);
  void HandleMessage(session& sender, const distribution::subscribe& message);
  void HandleMessage(session& sender, const distribution::applied& message);
  void HandleMessage(session& sender, const distribution::proof_query& message);
  void HandleMessage(session& sender, const protocol::submit& message);
  void HandleMessage(session& sender, const protocol::renew& message);
  void HandleMessage(session& sender, const protocol::proxy_status& message);

  void Dispatch(const distribution::subscriber_actions& actions);
  void RequestProof(kernel::nonce nonce);
  void Send(const session& recipient, const protocol::publisher_message& message);

  control_plugin& owner_;
  kernel::seeded_random& random_;
  kernel::steady_clock_source clock_;
  loop::timer tick_timer_;
  loop::timer heartbeat_timer_;
  distribution::publisher publisher_;
  std::map<const transport::link*, session> sessions_;
  std::map<distribution::subscriber_id, const transport::link*> links_by_id_;
  std::uint64_t next_id_ = 1;
};

}  // namespace cornelweir::plugins::control

#endif  // CORNELWEIR_PLUGINS_CONTROL_DAEMON_GATEWAY_H_
