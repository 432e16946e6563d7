#ifndef CORNELWEIR_PLUGINS_SIDECAR_PEER_SERVER_H_
#define CORNELWEIR_PLUGINS_SIDECAR_PEER_SERVER_H_

#include <boost/leaf.hpp>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "cornelweir/kernel.h"
#include "cornelweir/protocol.h"
#include "cornelweir/transport.h"
#include "plugins/daemon_context.h"
#include "plugins/sidecar/bulk_sender.h"
#include "plugins/sidecar/upstream_gate.h"

namespace cornelweir::plugins::sidecar {

// Takes requests of other daemons for the upstream on this host.
class peer_server {
 public:
  peer_server(daemon_context& context, upstream_gate& gate, bulk_sender& bulk)
      : context_(context), gate_(gate), bulk_(bulk) {}

  boost::leaf::result<void> Listen();
  void Close();
  // Tells every daemon that is connected what the upstream's state is now.
  void ReportUpstream();

 private:
  struct running {
    admission::ticket ticket;
    // Until the body is complete.
    protocol::run_request request;
    std::string body;
    bool complete = false;
  };
  struct session {
    std::shared_ptr<transport::link> link;
    bool greeted = false;
    std::map<kernel::call_id, running> runs;
  };

  void OnMessage(const std::shared_ptr<transport::link>& link, std::string_view payload);
  void OnClosed(const transport::link* link);
  void OnData(session& from, const protocol::data_message& message, std::string_view payload);
  void Begin(session& from, kernel::call_id id);
  void Answer(const std::weak_ptr<transport::link>& to, kernel::call_id id, run_result result);

  daemon_context& context_;
  upstream_gate& gate_;
  bulk_sender& bulk_;
  std::shared_ptr<transport::listener> listener_;
  std::map<const transport::link*, session> sessions_;
};

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_PLUGINS_SIDECAR_PEER_SERVER_H_
