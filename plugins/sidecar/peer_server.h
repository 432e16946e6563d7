#ifndef CORNELWEIR_PLUGINS_SIDECAR_PEER_SERVER_H_
#define CORNELWEIR_PLUGINS_SIDECAR_PEER_SERVER_H_

#include <boost/leaf.hpp>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "cornelweir/kernel.h"
#include "cornelweir/protocol.h"
#include "cornelweir/transport.h"
#include "plugins/daemon_context.h"
#include "plugins/sidecar/bulk_sender.h"
#include "plugins/sidecar/inbound_bodies.h"
#include "plugins/sidecar/quarantine_agent.h"
#include "plugins/sidecar/upstream_dispatcher.h"

namespace cornelweir::plugins::sidecar {

// Accepts requests from other daemons for the upstream on this host.
class peer_server {
 public:
  peer_server(daemon_context& context, upstream_dispatcher& dispatcher, bulk_sender& bulk);

  // Sets the object that gets the notices of other daemons on requests that crash upstreams.
  void UseQuarantine(quarantine_agent& quarantine) { quarantine_ = &quarantine; }
  boost::leaf::result<void> Listen();
  // Requires Listen().
  kernel::endpoint local_endpoint() const { return listener_->local_endpoint(); }
  // Tells the other daemons which requests were not taken, closes the links after the results
  // queued on them were sent, then calls done.
  void CloseAfterDrain(std::function<void()> done);
  // Sends the upstream's current state to all connected daemons.
  void ReportUpstream();
  // The load of the upstream and of the link on which request bodies arrive.
  protocol::upstream_load Load() const;

 private:
  struct inbound_request {
    admission::ticket ticket;
    // Moved to the dispatcher when the body is complete.
    protocol::run_request request;
    std::string body;
    // When its first message may have arrived at the earliest.
    kernel::time_point arrived_at;
    kernel::time_point objective;
    kernel::time_point deadline;
    std::int32_t priority = 0;
    bool idempotent = false;
    bool complete = false;
  };
  struct session {
    std::shared_ptr<transport::link> link;
    bool greeting_received = false;
    std::map<kernel::call_id, inbound_request> requests;
  };

  protocol::upstream_report Report() const;
  void OnMessage(const std::shared_ptr<transport::link>& link, std::string_view payload);
  void OnClosed(const transport::link* link);
  void OnData(session& sender, const protocol::data_message& message, std::string_view payload);
  void OnQuarantineNotice(const protocol::data_message& message);
  void OnRequest(session& sender, const protocol::run_request& message, std::string_view payload);
  void OnBodyPiece(session& sender, kernel::call_id id, std::string_view bytes);
  void OnCancel(session& sender, kernel::call_id id);
  // Accepts or refuses a request whose body is still to be sent.
  void AnnounceBody(session& sender, kernel::call_id id);
  void OnBodyGivenUp(const transport::link* link, kernel::call_id id);
  // Sends the result of a request whose body has not arrived.
  void RefuseBody(session& sender, kernel::call_id id);
  void StartRun(session& sender, kernel::call_id id);
  void SendResult(const std::weak_ptr<transport::link>& weak_link, kernel::call_id id,
                  run_result result);
  // Sends the body of a response in pieces, or reports that the request has run and failed.
  void SendBody(const std::shared_ptr<transport::link>& link, kernel::call_id id,
                bulk_sender::response_body body);
  void ReportDroppedResponse(transport::link& link, kernel::call_id id);

  daemon_context& context_;
  upstream_dispatcher& dispatcher_;
  bulk_sender& bulk_;
  quarantine_agent* quarantine_ = nullptr;
  inbound_bodies bodies_;
  std::shared_ptr<transport::listener> listener_;
  std::map<const transport::link*, session> sessions_;
};

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_PLUGINS_SIDECAR_PEER_SERVER_H_
