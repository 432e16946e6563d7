#ifndef CORNELWEIR_PLUGINS_SIDECAR_PEER_SET_H_
#define CORNELWEIR_PLUGINS_SIDECAR_PEER_SET_H_

#include <cstddef>
#include <map>
#include <memory>
#include <vector>

#include "cornelweir/kernel.h"
#include "cornelweir/loop.h"
#include "cornelweir/membership.h"
#include "plugins/daemon_context.h"
#include "plugins/sidecar/peer.h"
#include "plugins/sidecar/upstream_gate.h"

namespace cornelweir::plugins::sidecar {

// The daemons to which requests can be sent, this one among them.
class peer_set {
 public:
  peer_set(daemon_context& context, upstream_gate& gate);

  void Start();
  void Stop();
  void Update(const std::map<kernel::endpoint, membership::roster_entry>& roster);

  // The best daemon for a request, apart from those that are excluded, or null.
  std::shared_ptr<peer> Choose(const kernel::service_name& service,
                               const std::vector<std::shared_ptr<peer>>& exclude,
                               bool large_response);
  // Whether there is one apart from those that are excluded.
  bool HasOther(const kernel::service_name& service,
                const std::vector<std::shared_ptr<peer>>& exclude) const;
  std::size_t size() const { return peers_.size(); }

 private:
  kernel::microseconds IdleProbePeriod() const;

  daemon_context& context_;
  upstream_gate& gate_;
  loop::timer timer_;
  std::map<kernel::endpoint, std::shared_ptr<peer>> peers_;
  // Daemons that left the roster while requests were on their links.
  std::vector<std::shared_ptr<peer>> retired_;
  // Scratch of Choose().
  std::vector<std::shared_ptr<peer>> usable_;
  std::vector<routing::peer_candidate> candidates_;
};

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_PLUGINS_SIDECAR_PEER_SET_H_
