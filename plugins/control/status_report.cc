// The status of a control host, for operators.

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "plugins/control/control_plugin.h"

namespace cornelweir::plugins::control {
namespace internal {

using codec::json;

std::string_view StateName(membership::upstream_state state) {
  switch (state) {
    case membership::upstream_state::kStarting:
      return "starting";
    case membership::upstream_state::kReady:
      return "ready";
    case membership::upstream_state::kDraining:
      return "draining";
    case membership::upstream_state::kGone:
      return "gone";
  }
  return "unknown";
}

json StorageToJson(const replica::durable_node& storage, kernel::time_point now) {
  json status{{"state", std::string(storage::StateName(storage.health().state()))},
              {"outages", storage.health().outages()}};
  if (const auto free_bytes = storage.FreeBytes()) status["free_bytes"] = *free_bytes;
  const auto outage = storage.Outage(now);
  if (!outage) return status;
  const storage::storage_error& error = storage.last_error();
  status["outage_ms"] = kernel::ToMilliseconds(outage->duration).count();
  status["attempts"] = outage->attempts;
  status["error"] = {{"file", error.file},
                     {"call", std::string(storage::CallName(error.call))},
                     {"errno", error.system_error},
                     {"offset", error.offset}};
  return status;
}

json AgeToJson(const std::optional<kernel::microseconds>& age) {
  return age ? json(kernel::ToMilliseconds(*age).count()) : json(nullptr);
}

json CurrencyToJson(const currency_status& status) {
  return {{"state", std::string(protocol::CurrencyStateName(status.state))},
          {"outage_ms", AgeToJson(status.outage)},
          {"role", std::string(replication::RoleName(status.role))},
          {"voters", status.voters.size()},
          {"heard", status.VotersHeard()},
          {"learners", status.learners},
          {"round", DescribeRound(status.confirmed_round)},
          {"silent_ms", AgeToJson(status.confirmed_age)},
          {"sync_ms", AgeToJson(status.sync_duration)}};
}

json VotersToJson(const std::vector<replication::voter_contact>& voters) {
  json list = json::array();
  for (const replication::voter_contact& voter : voters) {
    list.push_back({{"host", voter.host.value()}, {"silent_ms", AgeToJson(voter.age)}});
  }
  return list;
}

}  // namespace internal

codec::json control_plugin::StatusReport() const {
  const replication::node& node = replica_.node();
  const auto& machine = replica_.machine();
  using internal::json;
  json status{
      {"host", context_.settings.host.value()},
      {"role", node.IsLeader()                                                      ? "leader"
               : replication::IsVoter(node.configuration(), context_.settings.host) ? "follower"
                                                                                    : "learner"},
      {"leader", node.leader() ? node.leader()->value() : std::string()},
      {"failed", !replica_.IsStorageHealthy()},
      {"storage", internal::StorageToJson(replica_.storage(), context_.clock.Now())},
      {"term", node.current_term().value()},
      {"commit_index", node.commit_index().value()},
      {"applied_index", replica_.applied_index().value()},
      {"version", machine.history().newest().value()},
      {"revision", machine.members().revision().value()},
      {"subscribers", gateway_.subscribers()},
      {"claims", machine.claims().size()}};
  const currency_status currency = feed_.currency().Status(context_.clock.Now());
  status["currency"] = internal::CurrencyToJson(currency);
  status["voters"] = internal::VotersToJson(currency.voters);
  json peers = json::array();
  for (const settings::control_peer& peer : context_.settings.control->peers) {
    if (peer.host == context_.settings.host) continue;
    peers.push_back({{"host", peer.host.value()},
                     {"voter", replication::IsVoter(node.configuration(), peer.host)},
                     {"match_index", node.MatchIndex(peer.host).value()},
                     {"reachable", mesh_.IsConnected(peer.host)}});
  }
  status["peers"] = std::move(peers);
  json proxies = json::array();
  for (const protocol::proxy_status& proxy : gateway_.Proxies()) {
    proxies.push_back({{"host", proxy.host.value()},
                       {"service", proxy.service.value()},
                       {"version", proxy.version.value()},
                       {"revision", proxy.revision.value()},
                       {"ready", proxy.ready}});
  }
  status["proxies"] = std::move(proxies);
  json upstreams = json::array();
  for (const auto& [id, record] : machine.members().members()) {
    upstreams.push_back({{"id", id.value()},
                         {"service", record.service.value()},
                         {"subset", record.subset.value()},
                         {"domain", record.domain.value()},
                         {"state", std::string(internal::StateName(record.state))},
                         {"endpoint", record.daemon_data.value()},
                         {"incarnation", record.incarnation.value()}});
  }
  status["upstreams"] = std::move(upstreams);
  json quarantined = json::array();
  for (const auto& entry : machine.crashes().Quarantined()) {
    const auto remaining = kernel::FromLogTime(entry.until) - machine.now();
    quarantined.push_back(
        {{"fingerprint", entry.request.value()},
         {"service", entry.service.value()},
         {"expires_in_ms", std::chrono::duration_cast<kernel::milliseconds>(remaining).count()}});
  }
  status["quarantined"] = std::move(quarantined);
  return status;
}

}  // namespace cornelweir::plugins::control
