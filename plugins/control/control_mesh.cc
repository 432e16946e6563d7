#include "plugins/control/control_mesh.h"

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "cornelweir/codec.h"
#include "cornelweir/src/codec/direct_cbor.h"
#include "plugins/control/log_payload.h"
#include "plugins/greeting.h"

namespace cornelweir::plugins::control {
namespace internal {

// There are few peers, so lost links are retried at a fixed interval without backoff.
constexpr kernel::milliseconds kMaintenancePeriod{200};
// An older attempt probably began while the host was down, so its first packet was lost.
constexpr kernel::milliseconds kMaxConnectAttemptAge{50};

}  // namespace internal

control_mesh::control_mesh(loop::event_loop& loop, const settings::daemon_settings& settings,
                           transport::tls_context tls, std::uint64_t first_submission)
    : loop_(loop),
      maintenance_(loop),
      self_(settings.host),
      tls_(std::move(tls)),
      next_submission_(first_submission) {
  for (const settings::control_peer& other : settings.control->peers) {
    if (other.host != self_) peers_[other.host].mesh = other.mesh;
  }
}

void control_mesh::SetPeers(const std::set<kernel::host_id>& hosts) {
  for (const kernel::host_id& host : hosts) {
    if (host != self_) peers_[host].mesh = kernel::endpoint(host.value());
  }
  for (auto it = peers_.begin(); it != peers_.end();) {
    if (hosts.contains(it->first)) {
      ++it;
      continue;
    }
    const std::shared_ptr<transport::link> link = it->second.link;
    it = peers_.erase(it);
    if (link) link->Close("the host is not in the group");
  }
}

void control_mesh::AddPeer(const kernel::host_id& host) {
  if (host == self_ || stopped_) return;
  peer& known = peers_[host];
  known.mesh = kernel::endpoint(host.value());
  if (known.link && (known.link->is_open() ||
                     clock_.Now() - known.connecting_since < internal::kMaxConnectAttemptAge)) {
    return;
  }
  const std::shared_ptr<transport::link> previous = known.link;
  Connect(host);
  if (previous) previous->Close("superseded by a new connection attempt");
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
  FailSubmissions(nullptr);
}

void control_mesh::Connect(const kernel::host_id& host) {
  peer& target = peers_.at(host);
  const std::uint64_t generation = ++target.generation;
  target.connecting_since = clock_.Now();
  transport::link_handlers handlers;
  handlers.opened = [this](const std::shared_ptr<transport::link>& link) {
    const protocol::control_message greeting = Greeting(protocol::process_role::kControl, self_);
    link->Send(codec::Encode(greeting));
    link->StartPings(transport::kControlLinkPings);
  };
  handlers.closed = [this, host, generation](const std::shared_ptr<transport::link>&,
                                             const std::string&) { OnClosed(host, generation); };
  target.link = transport::link::Connect(loop_.context(), target.mesh, tls_, std::move(handlers));
}

void control_mesh::OnClosed(const kernel::host_id& host, std::uint64_t generation) {
  const auto found = peers_.find(host);
  if (found == peers_.end() || found->second.generation != generation) return;
  found->second.link.reset();
  FailSubmissions(&host);
}

void control_mesh::Maintain() {
  for (auto& [host, peer] : peers_) {
    if (!peer.link && !stopped_) Connect(host);
  }
  const kernel::time_point now = clock_.Now();
  std::vector<outcome_callback> expired;
  for (auto it = submissions_.begin(); it != submissions_.end();) {
    if (it->second.expires_at > now) {
      ++it;
      continue;
    }
    expired.push_back(std::move(it->second.callback));
    it = submissions_.erase(it);
  }
  for (const outcome_callback& callback : expired) callback(std::nullopt);
}

// Reports no outcome for the commands that were forwarded to the given leader, or for all pending
// commands if it is null.
void control_mesh::FailSubmissions(const kernel::host_id* lost_leader) {
  std::vector<outcome_callback> failed;
  for (auto it = submissions_.begin(); it != submissions_.end();) {
    if (lost_leader != nullptr && it->second.leader != *lost_leader) {
      ++it;
      continue;
    }
    failed.push_back(std::move(it->second.callback));
    it = submissions_.erase(it);
  }
  for (const outcome_callback& callback : failed) callback(std::nullopt);
}

bool control_mesh::Send(const kernel::host_id& recipient,
                        const protocol::control_message& message) {
  return SendEncoded(recipient, codec::Encode(message));
}

bool control_mesh::SendEncoded(const kernel::host_id& recipient, const std::string& payload) {
  const auto found = peers_.find(recipient);
  if (found == peers_.end() || !found->second.link) return false;
  return found->second.link->Send(payload);
}

bool control_mesh::SendParts(const kernel::host_id& leader, std::uint64_t id,
                             const std::string& packed) {
  for (protocol::message_part& part : protocol::SplitIntoParts(packed)) {
    if (!Send(leader, protocol::submit_part{id, std::move(part)})) return false;
  }
  return true;
}

bool control_mesh::IsConnected(const kernel::host_id& host) const {
  const auto found = peers_.find(host);
  return found != peers_.end() && found->second.link && found->second.link->is_open();
}

void control_mesh::Submit(const kernel::host_id& leader, cornelweir::control::command command,
                          outcome_callback callback) {
  const std::uint64_t id = next_submission_++;
  const protocol::control_message message = protocol::submit{id, std::move(command)};
  const std::string encoded = codec::EncodeDirectly(message);
  bool is_sent = false;
  if (encoded.size() <= protocol::kPartBytes) {
    is_sent = SendEncoded(leader, encoded);
  } else {
    const auto packed = PackCommand(std::get<protocol::submit>(message).command);
    if (!packed) {
      callback(cornelweir::control::refused_outcome{"the change is too large"});
      return;
    }
    is_sent = SendParts(leader, id, *packed);
  }
  if (!is_sent) {
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
