#ifndef CORNELWEIR_PLUGINS_SIDECAR_UPSTREAM_GATE_H_
#define CORNELWEIR_PLUGINS_SIDECAR_UPSTREAM_GATE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cornelweir/admission.h"
#include "cornelweir/http.h"
#include "cornelweir/kernel.h"
#include "cornelweir/loop.h"
#include "cornelweir/membership.h"
#include "cornelweir/protocol.h"
#include "plugins/daemon_context.h"
#include "plugins/sidecar/bulk_sender.h"
#include "plugins/sidecar/request_dialect.h"
#include "plugins/sidecar/run_result.h"

namespace cornelweir::plugins::sidecar {

// The only way to the upstream on this host. It knows at once when the upstream drains, is replaced
// or is full, so a request that it refuses did not reach the upstream.
class upstream_gate {
 public:
  upstream_gate(daemon_context& context, const dialect_functions& dialect, const bulk_sender& bulk,
                std::function<void()> on_change);

  // Runs a request, now or when a slot is free. done is called once, never from within Run().
  admission::ticket Run(protocol::run_request request, std::string body, run_callback done);
  // The result is not wanted any more. A request that may run again is broken off; another one is
  // left to end.
  void Cancel(admission::ticket id);

  announcement_result Announce(const membership::upstream_announcement& announcement);
  void Withdraw(const kernel::upstream_id& id);
  // Asks an upstream that has not announced itself yet whether it is there.
  void ProbeUntilAnnounced(const std::string& health_path);
  // Refuses what has not begun to run, and everything from now on.
  void BeginShutdown();

  // Whether requests for the service are taken here now.
  bool Serves(const kernel::service_name& wanted) const { return IsOpen() && wanted == service(); }
  protocol::upstream_report Report() const;
  protocol::upstream_load Load() const;
  // The service of the upstream, as it announced itself last, or as the settings say.
  const kernel::service_name& service() const;
  bool busy() const { return !runs_.empty(); }
  std::uint64_t connections_opened() const { return client_.opened_connections(); }

 private:
  struct run {
    protocol::run_request request;
    std::string body;
    run_callback done;
    kernel::time_point deadline;
    kernel::time_point objective;
    kernel::time_point started;
    kernel::upstream_id upstream;
    std::shared_ptr<http::upstream_exchange> exchange;
    // What the response was judged to be, when there is one.
    upstream_response_kind response_kind = upstream_response_kind::kUnusable;
    bool wanted = true;
    // Counted in expected_bytes_ while it runs.
    std::size_t expected_bytes = 0;
  };

  // Means over the latest runs of a route.
  struct route_history {
    kernel::microseconds run_time{};
    std::size_t response_bytes = 0;
  };

  kernel::time_point Now() const { return context_.clock.Now(); }
  bool IsOpen() const;
  void Start(admission::ticket id);
  void StartAll(const std::vector<admission::ticket>& ids);
  void OnEnded(admission::ticket id, http::upstream_result result);
  run_result ResultOf(const run& ended, http::upstream_result result);
  kernel::microseconds TransferTimeOf(const route_history& route) const;
  void NoteRun(const kernel::route_name& route, kernel::microseconds run_time, std::size_t bytes);
  void Finish(admission::ticket id, run_result result);
  void RefuseAll(const std::vector<admission::ticket>& ids, protocol::run_failure failure);
  void NoteConnectFailure();
  void OnProbed(const std::string& health_path, const http::upstream_result& result);
  void WatchQueue();
  void Changed(std::string_view what);
  void UpdateSlots();

  daemon_context& context_;
  const dialect_functions& dialect_;
  const bulk_sender& bulk_;
  std::function<void()> on_change_;
  http::upstream_client client_;
  admission::slot_queue queue_;
  admission::nested_route_detector nested_;
  std::map<admission::ticket, run> runs_;
  std::uint64_t next_ticket_ = 1;
  std::optional<membership::upstream_announcement> announced_;
  kernel::time_point warm_at_;
  // The upstream withdrew, refused connections, or fell silent; its next announcement opens again.
  bool down_ = false;
  bool shutting_down_ = false;
  int connect_failures_ = 0;
  // What is known of each route's runs.
  std::map<kernel::route_name, route_history> history_;
  // The expected bodies of all running requests whose responses are large.
  std::size_t expected_bytes_ = 0;
  loop::timer queue_timer_;
  loop::timer probe_timer_;
  kernel::time_point started_at_;
};

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_PLUGINS_SIDECAR_UPSTREAM_GATE_H_
