#ifndef CORNELWEIR_PLUGINS_SIDECAR_PEER_SET_H_
#define CORNELWEIR_PLUGINS_SIDECAR_PEER_SET_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "cornelweir/kernel.h"
#include "cornelweir/loop.h"
#include "cornelweir/membership.h"
#include "cornelweir/metrics.h"
#include "cornelweir/rollout.h"
#include "plugins/daemon_context.h"
#include "plugins/sidecar/bulk_sender.h"
#include "plugins/sidecar/peer.h"
#include "plugins/sidecar/upstream_dispatcher.h"

namespace cornelweir::plugins::sidecar {

// A request for which a peer is sought.
struct peer_query {
  const kernel::service_name& service;
  // The peers that have had the request.
  const std::vector<std::shared_ptr<peer>>& excluded;
  bool large_response = false;
  std::size_t body_bytes = 0;
  kernel::route_name route;
  // Time until its latency objective.
  kernel::microseconds objective_left = routing::kNoObjective;
};

// The daemons to which requests can be sent, including this one.
class peer_set {
 public:
  peer_set(daemon_context& context, upstream_dispatcher& dispatcher, bulk_sender& bulk);

  // Sets the records by which the version for each request is chosen. They must outlive this
  // object.
  void UseRollouts(rollout::rollout_table& rollouts) { rollouts_ = &rollouts; }
  // Sets what is called when a link to a daemon has opened.
  void OnPeerOpened(std::function<void(peer&)> opened) { opened_ = std::move(opened); }
  void Start();
  void Stop();
  // Adds, updates and retires peers so that they match the roster.
  void Update(const std::map<kernel::endpoint, membership::roster_entry>& roster);

  // Sends a message to all connected daemons of a service, but not to this one.
  void SendToService(const kernel::service_name& service, const protocol::data_message& notice);
  // Returns the best peer for a request, or null.
  std::shared_ptr<peer> Choose(const peer_query& query);
  // Whether a peer that is not excluded serves the service.
  bool HasOther(const kernel::service_name& service,
                const std::vector<std::shared_ptr<peer>>& excluded) const;
  // Expected wait for a slot at the upstreams of the service, by recent reports.
  kernel::microseconds ServiceWait(const kernel::service_name& service);
  // Mean of the usual run times at the upstreams of the service; zero if none is known.
  kernel::microseconds UsualRunTime(const kernel::service_name& service);
  std::size_t size() const { return peers_.size(); }

 private:
  const rollout::rollout_record* FindRecord(const kernel::service_name& service) const {
    return rollouts_ == nullptr ? nullptr : rollouts_->Find(service);
  }
  std::shared_ptr<peer> ChooseByRecord(const rollout::rollout_record& record,
                                       const peer_query& query);
  // Fills usable_peers_ and candidates_ with the peers for which the predicate returns true.
  template <class Predicate>
  void Collect(const peer_query& query, Predicate is_allowed);
  // Reduces usable_peers_ and candidates_ to those that get the requests for the target now.
  void KeepActiveSubset(const rollout::rollout_record& record);
  std::shared_ptr<peer> ChooseCollected(const peer_query& query);
  void CountRolloutRequest(const kernel::service_name& service, rollout::version_group group);
  kernel::microseconds IdleProbePeriod() const;
  bool IsInOwnDomain(const peer& daemon) const;

  daemon_context& context_;
  upstream_dispatcher& dispatcher_;
  bulk_sender& bulk_;
  rollout::rollout_table* rollouts_ = nullptr;
  std::function<void(peer&)> opened_ = [](peer&) {};
  loop::timer timer_;
  std::map<kernel::endpoint, std::shared_ptr<peer>> peers_;
  // Peers that left the roster, until their pending requests end.
  std::vector<std::shared_ptr<peer>> retired_;
  struct service_times {
    kernel::microseconds wait{};
    kernel::microseconds run_time{};
    kernel::time_point computed_at;
  };
  const service_times& ServiceTimes(const kernel::service_name& service);

  std::map<kernel::service_name, service_times> service_times_;
  // Counters of requests sent during rollouts.
  std::map<std::pair<kernel::service_name, rollout::version_group>, metrics::counter*>
      rollout_counters_;
  // The part of all daemons that is in the own failure domain.
  double own_domain_share_ = 1;
  // Buffers of Choose(), kept to avoid allocations.
  std::vector<std::shared_ptr<peer>> usable_peers_;
  std::vector<routing::peer_candidate> candidates_;
};

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_PLUGINS_SIDECAR_PEER_SET_H_
