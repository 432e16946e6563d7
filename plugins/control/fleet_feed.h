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
#include "plugins/control/currency_tracker.h"

namespace cornelweir::plugins::control {

class control_plugin;

// Sends the daemons that are connected to this host the accepted policy, the roster of daemons, the
// control hosts, and whether this host is current.
class fleet_feed {
 public:
  fleet_feed(control_plugin& owner, loop::event_loop& loop, const loop::pause_tracker& pauses);

  void Start();
  void Stop();

  // Adds a daemon. Nothing is sent to it before its first report.
  void Add(const std::shared_ptr<transport::link>& link);
  void Remove(const transport::link* link) { daemons_.erase(link); }
  bool Serves(const transport::link* link) const { return daemons_.contains(link); }
  // Handles a report of an added daemon. Closes the link if the message is malformed.
  void Receive(const transport::link* link, std::string_view payload);
  // Merges the entries of daemons that are connected to another control host.
  void Receive(const protocol::roster_share& share);

  // Sends the newest accepted policy to the daemons. To be called when it changes.
  void PublishPolicy();

  // Sends the quarantined requests to the daemons of their services, with the next updates. To be
  // called when they change.
  void PublishQuarantine() { ++quarantine_revision_; }

  // Sends the rollout records that changed to the daemons. To be called when they change.
  void PublishRollouts();

  const membership::roster& roster() const { return roster_; }
  const currency_tracker& currency() const { return currency_; }
  std::size_t size() const { return daemons_.size(); }

 private:
  struct session {
    std::shared_ptr<transport::link> link;
    std::optional<membership::roster_entry> entry;
    // The newest policy that the daemon reported or was sent. Empty before its first report.
    std::optional<kernel::policy_version> known_policy;
    // The newest revision of the rollout records that it reported or was sent.
    kernel::rollout_revision known_rollouts;
    // Whether this host has proved, since the daemon's first report, that it had applied all
    // committed entries. A daemon that restarts must not begin with an older policy than others
    // enforce, and what this host has heard may be outdated if it or a link was paused.
    bool proved_current = false;
    bool proof_pending = false;
    std::uint64_t roster_revision = 0;
    // What the daemon was last sent of the quarantine, and at which revision and time.
    std::optional<std::vector<quarantine::quarantined_fingerprint>> quarantined;
    std::uint64_t quarantine_revision = 0;
    kernel::time_point quarantine_sent_at;
    std::vector<kernel::endpoint> control_hosts;
    kernel::incarnation superseded_incarnation;
    // The daemon was sent the upstream that it last reported.
    bool upstream_sent = false;
    kernel::time_point last_sent_at;
  };

  void Tick();
  void ProveCurrent(session& recipient);
  void ShareEntries();
  void SendUpdate(session& recipient, bool heartbeat);
  void SendLastUpstream(session& recipient);
  void SendRollouts(session& recipient);
  void SendQuarantine(session& recipient);
  void OnQuarantineReport(const protocol::quarantine_report& report);
  const std::vector<std::string>& PolicyMessagesFor(kernel::policy_version base_version);
  std::vector<kernel::endpoint> ControlHosts() const;

  control_plugin& owner_;
  kernel::steady_clock_source clock_;
  loop::timer timer_;
  std::map<const transport::link*, session> daemons_;
  membership::roster roster_;
  std::uint64_t quarantine_revision_ = 1;
  kernel::time_point last_shared_at_;
  currency_tracker currency_;
  // The last accepted policies, as bases of the deltas to the newest.
  std::map<kernel::policy_version, std::shared_ptr<const policy::policy_table>> recent_policies_;
  // The encoded updates to the newest policy by base version, in parts if they are large. Daemons
  // with the same policy share the encoded messages.
  std::map<kernel::policy_version, std::vector<std::string>> policy_messages_;
};

}  // namespace cornelweir::plugins::control

#endif  // CORNELWEIR_PLUGINS_CONTROL_FLEET_FEED_H_
