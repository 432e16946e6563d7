#ifndef CORNELWEIR_PLUGINS_CONTROL_CONTROL_MESH_H_
#define CORNELWEIR_PLUGINS_CONTROL_CONTROL_MESH_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "cornelweir/kernel.h"
#include "cornelweir/loop.h"
#include "cornelweir/protocol.h"
#include "cornelweir/settings.h"
#include "cornelweir/transport.h"

namespace cornelweir::plugins::control {

// The outgoing links of this control host to the others. Each host opens one link to every other
// host and sends only on its own links; it receives messages on the links that the others opened.
class control_mesh {
 public:
  using outcome_callback = std::function<void(std::optional<cornelweir::control::outcome>)>;

  // first_submission must differ between the processes of a host, as replies to an earlier process
  // may arrive after a restart.
  control_mesh(loop::event_loop& loop, const settings::daemon_settings& settings,
               transport::tls_context tls, std::uint64_t first_submission);

  void Start();
  void Stop();
  void set_tls(transport::tls_context tls) { tls_ = std::move(tls); }

  // Returns false if there is no link to the recipient or if the link refuses the message.
  bool Send(const kernel::host_id& recipient, const protocol::control_message& message);
  // Replaces the set of hosts to keep links to and closes the links to all others. The id of each
  // host must be its mesh endpoint.
  void SetPeers(const std::set<kernel::host_id>& hosts);
  // Opens a link to a host that has opened one to this host, so that messages can be sent to it: a
  // host with an empty disk does not know the group yet. Replaces a connection attempt that began
  // before the host could answer.
  void AddPeer(const kernel::host_id& host);
  void Broadcast(const protocol::control_message& message);
  bool IsConnected(const kernel::host_id& host) const;

  // Forwards a command to the leader. Calls back with its outcome, or with none if the leader can't
  // be reached or does not reply within protocol::kSubmissionTimeout.
  void Submit(const kernel::host_id& leader, cornelweir::control::command command,
              outcome_callback callback);
  // Completes the submission that the reply belongs to.
  void OnReply(const protocol::submit_reply& reply);
  bool HasSubmissions() const { return !submissions_.empty(); }

 private:
  struct peer {
    kernel::endpoint mesh;
    std::shared_ptr<transport::link> link;
    std::uint64_t generation = 0;
    kernel::time_point connecting_since;
  };

  struct pending_submission {
    kernel::host_id leader;
    kernel::time_point expires_at;
    outcome_callback callback;
  };

  bool SendEncoded(const kernel::host_id& recipient, const std::string& payload);
  // Sends a command that is too large for one message.
  bool SendParts(const kernel::host_id& leader, std::uint64_t id, const std::string& packed);
  void Connect(const kernel::host_id& host);
  void OnClosed(const kernel::host_id& host, std::uint64_t generation);
  void Maintain();
  void FailSubmissions(const kernel::host_id* lost_leader);

  loop::event_loop& loop_;
  loop::timer maintenance_;
  kernel::steady_clock_source clock_;
  kernel::host_id self_;
  transport::tls_context tls_;
  std::map<kernel::host_id, peer> peers_;
  std::map<std::uint64_t, pending_submission> submissions_;
  std::uint64_t next_submission_;
  bool stopped_ = false;
};

}  // namespace cornelweir::plugins::control

#endif  // CORNELWEIR_PLUGINS_CONTROL_CONTROL_MESH_H_
