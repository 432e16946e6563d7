#ifndef CORNELWEIR_PLUGINS_PROXY_PUBLISHER_CLIENT_H_
#define CORNELWEIR_PLUGINS_PROXY_PUBLISHER_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
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

// This daemon's link to the control hosts: gets the configuration and the members, and submits
// commands. Moves to another control host when a link is lost or brings no heartbeat.
class publisher_client {
 public:
  using outcome_callback = std::function<void(std::optional<control::outcome>)>;

  struct handlers {
    std::function<void(const distribution::subscriber_result&)> changed;
    std::function<void(const protocol::quarantined&)> quarantined;
    std::function<void()> contact;
  };

  publisher_client(daemon_context& context, handlers callbacks);

  void Start();
  void Stop();

  // Runs a command at the leader. Without an outcome it may or may not take effect later.
  void Submit(control::command command, outcome_callback callback);
  void Renew(const protocol::lease_renewal& renewal);

  const distribution::subscriber& subscriber() const { return subscriber_; }
  bool connected() const { return link_ && link_->is_open(); }
  std::uint64_t control_bytes_received() const;
  std::uint64_t control_bytes_sent() const;
  const std::deque<applied_version>& applied_versions() const { return applied_versions_; }

 private:
  struct pending_submission {
    kernel::time_point expires_at;
    outcome_callback callback;
  };

  void Connect();
  void ConnectLater();
  void OnOpened();
  void OnMessage(std::string_view payload);
  void OnClosed(std::uint64_t generation, const std::string& reason);
  void Handle(const distribution::subscriber_result& result);
  void Tick();
  void ReportStatus();
  void ExpireSubmissions(kernel::time_point now);
  bool Send(const protocol::daemon_message& message);

  daemon_context& context_;
  handlers handlers_;
  distribution::subscriber subscriber_;
  std::shared_ptr<transport::link> link_;
  std::uint64_t generation_ = 0;
  std::size_t next_host_ = 0;
  kernel::milliseconds backoff_;
  loop::timer reconnect_timer_;
  loop::timer tick_timer_;
  loop::timer status_timer_;
  std::map<std::uint64_t, pending_submission> submissions_;
  std::uint64_t next_submission_ = 1;
  std::uint64_t closed_bytes_received_ = 0;
  std::uint64_t closed_bytes_sent_ = 0;
  std::deque<applied_version> applied_versions_;
  bool stopped_ = false;
};

}  // namespace cornelweir::plugins::proxy

#endif  // CORNELWEIR_PLUGINS_PROXY_PUBLISHER_CLIENT_H_
