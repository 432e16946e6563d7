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
#include "plugins/sidecar/upstream_dispatcher.h"

namespace cornelweir::plugins::sidecar {

// Accepts requests from other daemons for the upstream on this host.
class peer_server {
 public:
  peer_server(daemon_context& context, upstream_dispatcher& dispatcher, bulk_sender& bulk)
      : context_(context), dispatcher_(dispatcher), bulk_(bulk) {}

  boost::leaf::result<void> Listen();
  // Closes the links after the results queued on them were sent, then calls done.
  void CloseAfterDrain(std::function<void()> done);
  // Sends the upstream's current state to all connected daemons.
  void ReportUpstream();

 private:
  struct inbound_request {
    admission::ticket ticket;
    // Moved to the dispatcher when the body is complete.
    protocol::run_request request;
    std::string body;
    // When its first message may have arrived at the earliest.
    kernel::time_point arrived_at;
    bool complete = false;
  };
  struct session {
    std::shared_ptr<transport::link> link;
    bool greeting_received = false;
    std::map<kernel::call_id, inbound_request> requests;
    // Size of the incomplete bodies of the requests.
    std::size_t body_bytes = 0;
  };

  void OnMessage(const std::shared_ptr<transport::link>& link, std::string_view payload);
  void OnClosed(const transport::link* link);
  void OnData(session& sender, const protocol::data_message& message, std::string_view payload);
  void AppendBody(session& sender, kernel::call_id id, std::string_view bytes, bool last);
  void StartRun(session& sender, kernel::call_id id);
  void SendResult(const std::weak_ptr<transport::link>& weak_link, kernel::call_id id,
                  run_result result);

  daemon_context& context_;
  upstream_dispatcher& dispatcher_;
  bulk_sender& bulk_;
  std::shared_ptr<transport::listener> listener_;
  std::map<const transport::link*, session> sessions_;
};

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_PLUGINS_SIDECAR_PEER_SERVER_H_
