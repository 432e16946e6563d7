#ifndef CORNELWEIR_PLUGINS_SIDECAR_PEER_H_
#define CORNELWEIR_PLUGINS_SIDECAR_PEER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "cornelweir/kernel.h"
#include "cornelweir/loop.h"
#include "cornelweir/membership.h"
#include "cornelweir/protocol.h"
#include "cornelweir/routing.h"
#include "cornelweir/transport.h"
#include "plugins/daemon_context.h"
#include "plugins/sidecar/bulk_sender.h"
#include "plugins/sidecar/host_traffic.h"
#include "plugins/sidecar/run_result.h"
#include "plugins/sidecar/upstream_dispatcher.h"

namespace cornelweir::plugins::sidecar {

// A daemon that runs requests: a remote one over a link, or this process.
class peer {
 public:
  // dispatcher is that of this process if the entry is its own, and null for remote daemons.
  peer(daemon_context& context, membership::roster_entry entry, upstream_dispatcher* dispatcher,
       bulk_sender& bulk);
  ~peer();
  peer(const peer&) = delete;
  peer& operator=(const peer&) = delete;

  // Opens, probes or closes the link as needed; called periodically. An idle link is probed once
  // per idle_probe_period.
  void Maintain(kernel::microseconds idle_probe_period);
  // Closes the link permanently. Its pending requests end with an upstream error.
  void Close();
  // Prevents reconnecting once the current link is closed.
  void Retire() { retry_at_ = kernel::time_point::max(); }
  bool busy() const { return !pending_.empty(); }
  // Replaces the roster entry. Connects at once if the daemon has restarted.
  void Update(const membership::roster_entry& entry);

  // Whether requests for the service can be sent to this peer now.
  bool Serves(const kernel::service_name& service) const;
  // The version of the upstream; empty if unknown.
  kernel::software_version version() const;
  // The candidate for a request of the route with a body of this size. Requires Serves().
  routing::peer_candidate Candidate(const kernel::route_name& route, std::size_t body_bytes) const;
  // The wait for a slot, as last reported, and the age of that report. Require Serves().
  kernel::microseconds ReportedWait() const;
  // The usual run time, as last reported; zero if unknown. Requires Serves().
  kernel::microseconds ReportedRunTime() const;
  kernel::microseconds ReportAge() const;
  // Stores what ChoosePeer() changed of the candidate.
  void SetCredit(double credit) { credit_ = credit; }
  // Requires Serves(). done is called once, unless the request is cancelled.
  kernel::call_id Run(protocol::run_request request, std::shared_ptr<const std::string> body,
                      run_callback done);
  // Drops the request without calling done.
  void Cancel(kernel::call_id id);

  // Sends a message that is not about a request, if a link is open.
  void SendNotice(const protocol::data_message& notice) {
    if (link_ && connected_) SendCountedData(context_.metrics, *link_, notice);
  }
  // Sets what is called when a link has opened, before any request is sent on it.
  void OnOpened(std::function<void(peer&)> opened) { opened_ = std::move(opened); }

  const membership::roster_entry& entry() const { return entry_; }

 private:
  struct pending {
    run_callback done;
    kernel::route_name route;
    bool idempotent = false;
    // A part of the body has not been sent, so the request has not run.
    bool body_unsent = false;
    admission::ticket ticket;
    // Empty until the response begins to arrive.
    std::optional<http::whole_response> response;
    bool nested = false;
  };

  kernel::time_point Now() const { return context_.clock.Now(); }
  void Connect();
  void OnMessage(std::string_view payload);
  void OnClosed(const std::string& reason);
  void OnSilent();
  void OnReport(const protocol::upstream_report& report);
  void OnResponse(const protocol::run_response& message, std::string_view payload);
  void OnClosing(const protocol::link_closing& message);
  void OnBodySent(kernel::call_id id);
  // Drops what has not been sent of the body of a request.
  void DropBody(kernel::call_id id, const pending& call);
  void DropAllBodies();
  void OnBodyPiece(const protocol::body_piece& message, std::string_view payload);
  // Takes room for a response of which this many bytes are known. Returns false if there is none.
  bool TakeRoom(http::whole_response& response, std::uint64_t bytes);
  // Ends a request that has run, because its response is invalid.
  void RefuseResponse(kernel::call_id id);
  // Ends a request that has run, because there is no room for its response.
  void DropResponse(kernel::call_id id);
  void Finish(kernel::call_id id, run_result result);
  // Finish() without an effect on the failure rate of the peer.
  void End(kernel::call_id id, run_result result);
  void RecordResult(const run_result& result);
  void RecordRunTime(const kernel::route_name& route, kernel::microseconds run_time);
  void OnNewLoad();
  void UpdateLoad(const protocol::upstream_load& load);

  daemon_context& context_;
  membership::roster_entry entry_;
  upstream_dispatcher* dispatcher_;
  bulk_sender& bulk_;
  std::function<void(peer&)> opened_ = [](peer&) {};
  std::shared_ptr<transport::link> link_;
  // False for callbacks of an earlier link or of a destroyed peer, which must do nothing.
  std::shared_ptr<bool> alive_;
  bool connected_ = false;
  std::optional<protocol::upstream_report> report_;
  std::map<kernel::call_id, pending> pending_;
  std::uint64_t next_call_ = 1;
  std::uint64_t next_probe_ = 1;
  kernel::time_point last_received_at_;
  kernel::time_point probed_at_;
  kernel::time_point retry_at_;
  // Whether the daemon has not answered probes for some time. No requests are sent to it.
  bool silent_ = false;
  kernel::microseconds backoff_{};
  // When the load of report_ arrived, and what was sent to the daemon since then.
  kernel::time_point reported_at_;
  std::int64_t sent_since_report_ = 0;
  std::int64_t body_bytes_since_report_ = 0;
  // Usual run times at the upstream by route, as last reported.
  std::map<kernel::route_name, kernel::microseconds> route_run_times_;
  // See routing::peer_candidate.
  double credit_ = 0;
  double failure_rate_ = 0;
  kernel::time_point last_result_at_;
};

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_PLUGINS_SIDECAR_PEER_H_
