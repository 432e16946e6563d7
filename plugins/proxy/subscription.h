#ifndef CORNELWEIR_PLUGINS_PROXY_SUBSCRIPTION_H_
#define CORNELWEIR_PLUGINS_PROXY_SUBSCRIPTION_H_

#include <boost/leaf.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "cornelweir/distribution.h"
#include "cornelweir/kernel.h"
#include "cornelweir/loop.h"
#include "cornelweir/protocol.h"
#include "cornelweir/transport.h"
#include "plugins/daemon_context.h"

namespace cornelweir::plugins::proxy {

// A table version and the wall-clock time when this daemon applied it.
struct applied_version {
  kernel::table_version version;
  std::int64_t applied_at_us = 0;  // Since the epoch.
};

// Receives the configuration and the members from a publisher, which is a control host or a relay,
// and relays them to this daemon's children.
class subscription {
 public:
  struct handlers {
    // Called with the changes, which may be none, that a message or a timer caused.
    std::function<void(const distribution::subscriber_result&)> state_changed;
    // Called on each message from the publisher.
    std::function<void()> publisher_contact;
  };

  subscription(daemon_context& context, handlers callbacks);

  // Listens for children. The error is a transport_error.
  boost::leaf::result<void> Listen();
  void Start();
  void Stop();

  // The configuration and members received so far.
  const distribution::subscriber& subscriber() const { return relay_.own_subscriber(); }
  std::size_t children() const { return relay_.child_publisher().size(); }
  // The publisher if it has sent a heartbeat over the current link, else an empty endpoint.
  kernel::endpoint publisher() const {
    return heartbeat_received_ ? publisher_ : kernel::endpoint();
  }
  std::uint64_t bytes_received() const;
  std::uint64_t bytes_sent() const;
  std::uint64_t bytes_sent_to_children() const;
  const std::deque<applied_version>& applied_versions() const { return applied_versions_; }

 private:
  struct child {
    std::shared_ptr<transport::link> link;
    distribution::subscriber_id id;
  };

  void ScheduleConnect();
  void Connect();
  void OnMessage(std::string_view payload);
  void OnClosed(std::uint64_t generation, const std::string& reason);
  void OnChildMessage(const std::shared_ptr<transport::link>& link, std::string_view payload);
  void OnChildClosed(const std::shared_ptr<transport::link>& link);
  void ApplyResult(const distribution::relay_result& result);
  void RecordChanges(const distribution::subscriber_result& result);
  void Tick();
  void Send(const protocol::daemon_message& message);

  daemon_context& context_;
  handlers handlers_;
  distribution::relay relay_;
  distribution::reconnect_policy<kernel::seeded_random> reconnect_policy_;
  std::shared_ptr<transport::listener> listener_;
  std::shared_ptr<transport::link> link_;
  kernel::endpoint publisher_;
  // Whether the publisher has sent a heartbeat over the current link.
  bool heartbeat_received_ = false;
  std::uint64_t generation_ = 0;
  std::map<const transport::link*, child> children_;
  std::map<distribution::subscriber_id, const transport::link*> child_links_by_id_;
  std::uint64_t next_child_id_ = 1;
  loop::timer reconnect_timer_;
  loop::timer tick_timer_;
  std::uint64_t closed_link_bytes_received_ = 0;
  std::uint64_t closed_link_bytes_sent_ = 0;
  std::uint64_t closed_child_bytes_sent_ = 0;
  std::deque<applied_version> applied_versions_;
  bool stopped_ = false;
};

}  // namespace cornelweir::plugins::proxy

#endif  // CORNELWEIR_PLUGINS_PROXY_SUBSCRIPTION_H_
