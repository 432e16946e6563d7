#ifndef CORNELWEIR_PLUGINS_SIDECAR_PEER_H_
#define CORNELWEIR_PLUGINS_SIDECAR_PEER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "cornelweir/kernel.h"
#include "cornelweir/loop.h"
#include "cornelweir/membership.h"
#include "cornelweir/protocol.h"
#include "cornelweir/routing.h"
#include "cornelweir/transport.h"
#include "plugins/daemon_context.h"
#include "plugins/sidecar/run_result.h"
#include "plugins/sidecar/upstream_gate.h"

namespace cornelweir::plugins::sidecar {

// A daemon to which requests can be sent: another one over a link, or this one.
class peer {
 public:
  // gate is that of this process if the entry is its own, and null for every other daemon.
  peer(daemon_context& context, membership::roster_entry entry, upstream_gate* gate);
  ~peer();
  peer(const peer&) = delete;
  peer& operator=(const peer&) = delete;

  // Opens, probes or gives up the link as needed.
  // An idle link is probed at this period.
  void Maintain(kernel::microseconds idle_probe_period);
  // Closes the link for good. Requests on it end as broken.
  void Close();
  // Keeps the link only for as long as requests are on it.
  void Retire() { retry_at_ = kernel::time_point::max(); }
  bool busy() const { return !pending_.empty(); }
  // A daemon that has started again is reachable now, whatever was tried before.
  void Update(const membership::roster_entry& entry);

  // Whether requests for the service can be sent there now.
  bool Serves(const kernel::service_name& service) const;
  routing::peer_candidate Candidate() const;
  kernel::call_id Run(protocol::run_request request, const std::string& body, run_callback done);
  void Cancel(kernel::call_id id);

  const membership::roster_entry& entry() const { return entry_; }

 private:
  struct pending {
    run_callback done;
    kernel::time_point sent_at;
    admission::ticket ticket;
    http::whole_response response;
  };

  kernel::time_point Now() const { return context_.clock.Now(); }
  void Connect();
  void OnMessage(std::string_view payload);
  void OnClosed(const std::string& reason);
  void OnReport(const protocol::upstream_report& report);
  void OnResponse(const protocol::run_response& message, std::string_view payload);
  void OnPiece(const protocol::body_piece& message, std::string_view payload);
  void End(kernel::call_id id, run_result result);
  void Observe(const run_result& result, kernel::microseconds took);
  void NoteLoad(const protocol::upstream_load& load);

  daemon_context& context_;
  membership::roster_entry entry_;
  upstream_gate* gate_;
  std::shared_ptr<transport::link> link_;
  // Tells callbacks of an earlier link, or after the end of this object, that they are late.
  std::shared_ptr<bool> alive_;
  bool opened_ = false;
  std::optional<protocol::upstream_report> report_;
  std::map<kernel::call_id, pending> pending_;
  std::uint64_t next_call_ = 1;
  std::uint64_t next_probe_ = 1;
  kernel::time_point heard_at_;
  kernel::time_point probed_at_;
  kernel::time_point retry_at_;
  kernel::microseconds backoff_{};
  std::int64_t sent_since_ = 0;
  double response_time_us_ = 0;
  double failures_ = 0;
  kernel::time_point observed_at_;
};

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_PLUGINS_SIDECAR_PEER_H_
