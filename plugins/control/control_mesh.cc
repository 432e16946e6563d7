#include "plugins/control/control_mesh.h"

#include <string>
#include <utility>
#include <vector>

#include "cornelweir/codec.h"
#include "plugins/greeting.h"

namespace cornelweir::plugins::control {
namespace internal {

// Peers are few, so a lost link is tried again at a constant pace.
constexpr kernel::milliseconds kMaintenancePeriod{200};
// An attempt that is older was made while the host had no power, and its first packet is lost.
constexpr kernel::milliseconds kStaleAttempt{50};

}  // namespace internal

control_mesh::control_mesh(loop::event_loop& loop, const settings::daemon_settings& settings,
                           transport::tls_context tls)
    : loop_(loop), maintenance_(loop), self_(settings.host), tls_(std::move(tls)) {
  for (const settings::control_peer& other : settings.control->peers) {
    if (other.host != self_) peers_[other.host].mesh = other.mesh;
  }
}

void control_mesh::SetPeers(const std::set<kernel::host_id>& hosts) {
  for (const kernel::host_id& host : hosts) {
    if (host != self_) peers_[host].mesh = kernel::endpoint(host.value());
  }
  for (auto next = peers_.begin(); next != peers_.end();) {
    if (hosts.contains(next->first)) {
      ++next;
      continue;
    }
    const std::shared_ptr<transport::link> link = next->second.link;
    next = peers_.erase(next);
    if (link) link->Close("the host is not in the group");
  }
}

void control_mesh::Learn(const kernel::host_id& host) {
  if (host == self_ || stopped_) return;
  peer& known = peers_[host];
  known.mesh = kernel::endpoint(host.value());
  if (known.link &&
      (known.link->is_open() || clock_.Now() - known.connecting_since < internal::kStaleAttempt)) {
    return;
  }
  const std::shared_ptr<transport::link> stale = known.link;
  Connect(host);
  if (stale) stale->Close("the host has come back");
}

void control_mesh::Broadcast(const protocol::control_message& message) {
  const std::string payload = codec::Encode(message);
  for (auto& [host, peer] : peers_) {
    if (peer.link) peer.link->Send(payload);
  }
}

void control_mesh::Start() {
  Maintain();
  maintenance_.StartPeriodic(internal::kMaintenancePeriod, [this] { Maintain(); });
}

void control_mesh::Stop() {
  stopped_ = true;
  maintenance_.Cancel();
  for (auto& [host, peer] : peers_) {
    if (peer.link) peer.link->Close("the process is shutting down");
  }
  Fail(nullptr);
}

void control_mesh::Connect(const kernel::host_id& host) {
  peer& target = peers_.at(host);
  const std::uint64_t generation = ++target.generation;
  target.connecting_since = clock_.Now();
  transport::link_handlers handlers;
  handlers.opened = [this](const std::shared_ptr<transport::link>& link) {
    const protocol::control_message greeting = Greeting(protocol::process_role::kControl, self_);
    link->Send(codec::Encode(greeting));
  };
  handlers.closed = [this, host, generation](const std::shared_ptr<transport::link>&,
                                             const std::string&) { OnClosed(host, generation); };
  target.link = transport::link::Connect(loop_.context(), target.mesh, tls_, std::move(handlers));
}

void control_mesh::OnClosed(const kernel::host_id& host, std::uint64_t generation) {
  const auto found = peers_.find(host);
  if (found == peers_.end() || found->second.generation != generation) return;
  found->second.link.reset();
  Fail(&host);
}

void control_mesh::Maintain() {
  for (auto& [host, peer] : peers_) {
    if (!peer.link && !stopped_) Connect(host);
  }
  const kernel::time_point now = clock_.Now();
  std::vector<outcome_callback> expired;
  for (auto next = submissions_.begin(); next != submissions_.end();) {
    if (next->second.expires_at > now) {
      ++next;
      continue;
    }
    expired.push_back(std::move(next->second.callback));
    next = submissions_.erase(next);
  }
  for (const outcome_callback& callback : expired) callback(std::nullopt);
}

// Fails the commands that were passed to a leader, or to all if it is null.
void control_mesh::Fail(const kernel::host_id* lost_leader) {
  std::vector<outcome_callback> failed;
  for (auto next = submissions_.begin(); next != submissions_.end();) {
    if (lost_leader != nullptr && next->second.leader != *lost_leader) {
      ++next;
      continue;
    }
    failed.push_back(std::move(next->second.callback));
    next = submissions_.erase(next);
  }
  for (const outcome_callback& callback : failed) callback(std::nullopt);
}

bool control_mesh::Send(const kernel::host_id& to, const protocol::control_message& message) {
  const auto found = peers_.find(to);
  if (found == peers_.end() || !found->second.link) return false;
  return found->second.link->Send(codec::Encode(message));
}

bool control_mesh::IsConnected(const kernel::host_id& host) const {
  const auto found = peers_.find(host);
  return found != peers_.end() && found->second.link && found->second.link->is_open();
}

void control_mesh::Submit(const kernel::host_id& leader, cornelweir::control::command command,
                          outcome_callback callback) {
  const std::uint64_t id = next_submission_++;
  if (!Send(leader, protocol::submit{id, std::move(command)})) {
    callback(std::nullopt);
    return;
  }
  submissions_.emplace(id, pending_submission{leader, clock_.Now() + protocol::kSubmissionTimeout,
                                              std::move(callback)});
}

void control_mesh::OnReply(const protocol::submit_reply& reply) {
  const auto found = submissions_.find(reply.id);
  if (found == submissions_.end()) return;
  const outcome_callback callback = std::move(found->second.callback);
  submissions_.erase(found);
  callback(reply.outcome);
}

}  // namespace cornelweir::plugins::control
