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

// A version that this daemon enforced and when, by the wall clock.
struct applied_version {
  kernel::table_version version;
  std::int64_t applied_at_us = 0;
};

// Where this daemon gets the configuration and the members from, a control host or a relay, and
// the daemons to which it relays them.
class subscription {
 public:
  struct handlers {
    // Something that is held changed, or the daemon became ready.
    std::function<void(const distribution::subscriber_result&)> changed;
    // The publisher was heard from.
    std::function<void()> contact;
  };

  subscription(daemon_context& context, handlers callbacks);

  // Listens for children. The error is a transport_error.
  boost::leaf::result<void> Listen();
  void Start();
  void Stop();

  const distribution::subscriber& held() const { return relay_.own_subscriber(); }
  std::size_t children() const { return relay_.child_publisher().size(); }
  // The publisher that serves this daemon, or an empty endpoint.
  kernel::endpoint publisher() const { return served_ ? publisher_ : kernel::endpoint(); }
  std::uint64_t bytes_received() const;
  std::uint64_t bytes_sent() const;
  std::uint64_t bytes_sent_to_children() const;
  const std::deque<applied_version>& applied_versions() const { return applied_versions_; }

 private:
  struct child {
    std::shared_ptr<transport::link> link;
    distribution::subscriber_id id;
  };

  void ConnectNext();
  void Connect();
  void OnMessage(std::string_view payload);
  void OnClosed(std::uint64_t generation, const std::string& reason);
  void OnChildMessage(const std::shared_ptr<transport::link>& link, std::string_view payload);
  void OnChildClosed(const std::shared_ptr<transport::link>& link);
  void Handle(const distribution::relay_result& result);
  void NoteChange(const distribution::subscriber_result& result);
  void Tick();
  void Send(const protocol::daemon_message& message);

  daemon_context& context_;
  handlers handlers_;
  distribution::relay relay_;
  distribution::reconnect_policy<kernel::seeded_random> policy_;
  std::shared_ptr<transport::listener> listener_;
  std::shared_ptr<transport::link> link_;
  kernel::endpoint publisher_;
  // Whether the publisher brought a heartbeat since the link opened.
  bool served_ = false;
  std::uint64_t generation_ = 0;
  std::map<const transport::link*, child> children_;
  std::map<distribution::subscriber_id, const transport::link*> by_id_;
  std::uint64_t next_child_ = 1;
  loop::timer reconnect_timer_;
  loop::timer tick_timer_;
  std::uint64_t closed_bytes_received_ = 0;
  std::uint64_t closed_bytes_sent_ = 0;
  std::uint64_t closed_bytes_to_children_ = 0;
  std::deque<applied_version> applied_versions_;
  bool stopped_ = false;
};

}  // namespace cornelweir::plugins::proxy

#endif  // CORNELWEIR_PLUGINS_PROXY_SUBSCRIPTION_H_
