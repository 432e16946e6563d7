#ifndef CORNELWEIR_PLUGINS_PROXY_CONTROL_CLIENT_H_
#define CORNELWEIR_PLUGINS_PROXY_CONTROL_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "cornelweir/control.h"
#include "cornelweir/kernel.h"
#include "cornelweir/loop.h"
#include "cornelweir/protocol.h"
#include "cornelweir/transport.h"
#include "plugins/daemon_context.h"

namespace cornelweir::plugins::proxy {

// The link from this daemon to a control host, used for commands, lease renewals and status
// reports. It is independent of the subscription, which receives the configuration. Reconnects to
// another control host when the link closes or a command times out: a partitioned control host
// keeps its links open.
class control_client {
 public:
  using outcome_callback = std::function<void(std::optional<control::outcome>)>;

  struct handlers {
    // Called with the full quarantine list whenever the control host sends it.
    std::function<void(const protocol::quarantine_update&)> quarantine_updated;
    // Called each time a link to a control host opens.
    std::function<void()> opened;
  };

  control_client(daemon_context& context, handlers callbacks);

  // Connects to a random control host.
  void Start();
  // Closes the link and stops reconnecting.
  void Stop();

  // Submits a command to the leader. The callback gets std::nullopt if no reply arrived; the
  // command may still take effect later.
  void Submit(control::command command, outcome_callback callback);
  // Renews the upstream's lease. Dropped if no link is open.
  void Renew(const protocol::lease_renewal& renewal);
  // Reports this daemon's status. Dropped if no link is open.
  void Report(const protocol::proxy_status& status);

  bool connected() const { return link_ && link_->is_open(); }
  // Bytes over all links since the start.
  std::uint64_t bytes_received() const;
  std::uint64_t bytes_sent() const;

 private:
  struct pending_submission {
    kernel::time_point expires_at;
    outcome_callback callback;
  };

  void Connect();
  void ScheduleReconnect();
  void OnMessage(std::string_view payload);
  void OnClosed(std::uint64_t generation, const std::string& reason);
  void ExpireSubmissions();
  bool Send(const protocol::daemon_message& message);

  daemon_context& context_;
  handlers handlers_;
  std::shared_ptr<transport::link> link_;
  std::uint64_t generation_ = 0;
  std::size_t next_host_ = 0;
  kernel::milliseconds backoff_;
  loop::timer reconnect_timer_;
  loop::timer expiry_timer_;
  std::map<std::uint64_t, pending_submission> submissions_;
  std::uint64_t next_submission_ = 1;
  std::uint64_t closed_link_bytes_received_ = 0;
  std::uint64_t closed_link_bytes_sent_ = 0;
  bool stopped_ = false;
};

}  // namespace cornelweir::plugins::proxy

#endif  // CORNELWEIR_PLUGINS_PROXY_CONTROL_CLIENT_H_
