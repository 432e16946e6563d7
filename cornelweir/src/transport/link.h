#ifndef CORNELWEIR_SRC_TRANSPORT_LINK_H_
#define CORNELWEIR_SRC_TRANSPORT_LINK_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/transport/limits.h"
#include "cornelweir/src/transport/socket_stream.h"
#include "cornelweir/src/transport/tls_context.h"
#include "cornelweir/src/transport/websocket_codec.h"

namespace cornelweir::transport {

class link;

// Callbacks of a link. closed is called exactly once, even if the link never opened, and no
// callback follows it.
struct link_handlers {
  std::function<void(const std::shared_ptr<link>&)> opened;
  std::function<void(const std::shared_ptr<link>&, std::string_view payload)> message;
  std::function<void(const std::shared_ptr<link>&, const std::string& reason)> closed;
};

// A connection to another process of the system that delivers whole binary messages in order.
class link : public std::enable_shared_from_this<link> {
 public:
  // Connects to a listener. A failure is reported through the closed callback.
  static std::shared_ptr<link> Connect(boost::asio::io_context& context,
                                       const kernel::endpoint& remote, const tls_context& tls,
                                       link_handlers handlers);
  // Performs the server side of the handshake on a connection that a listener accepted.
  static std::shared_ptr<link> Accept(boost::asio::io_context& context,
                                      boost::asio::ip::tcp::socket socket, const tls_context& tls,
                                      link_handlers handlers);

  // Queues one message. Returns false if the link is not open or its send queue is full. A full
  // queue closes the link, because dropping single messages would leave gaps in the stream.
  bool Send(const std::string& payload);
  // Sends pings, and closes the link when too many remain unanswered. An open connection may stop
  // carrying bytes while a middlebox goes on to acknowledge them, which the time limits of TCP
  // don't detect. Must be called while the link is open. Pings end when the link is drained.
  void StartPings(const ping_options& options);
  // Closes the socket without a closing handshake. The closed callback runs later, from the loop,
  // with this reason.
  void Close(const std::string& reason);
  // Sends what is queued, then closes the sending side, and closes the socket when the peer has
  // closed its side or after kDrainTimeout. Received messages are discarded. A plain Close() could
  // reset the connection, which discards messages that the peer has not read yet.
  void CloseAfterDrain(const std::string& reason);

  bool is_open() const { return state_ == state::kOpen; }
  // The role named by the peer's certificate; empty without TLS.
  const std::string& peer_role() const { return peer_role_; }
  std::uint64_t bytes_sent() const { return bytes_sent_; }
  std::uint64_t bytes_received() const { return bytes_received_; }

 private:
  enum class state { kOpening, kOpen, kDraining, kClosed };
  using side = internal::websocket_codec::side;

  link(boost::asio::io_context& context, boost::asio::ip::tcp::socket socket, tls_context tls,
       side local_side, link_handlers handlers);

  // Closes the link if it is still in this state after the timeout.
  void StartStateTimer(state limited, std::chrono::milliseconds timeout, std::string reason);
  void StartHandshake();
  void PingNext();
  void ReadSome();
  void QueueBytes(const char* data, std::size_t size);
  void WriteNext();
  void ShutdownWhenSent();
  void Finish(const std::string& reason);

  boost::asio::io_context& context_;
  // Limits the time to open the link, then times its pings, and later limits the time to drain it.
  boost::asio::steady_timer state_timer_;
  internal::socket_stream stream_;
  // The socket until it is connected; owned by the operation that connects it.
  std::weak_ptr<boost::asio::ip::tcp::socket> connecting_;
  link_handlers handlers_;
  side side_;
  state state_ = state::kOpening;
  std::unique_ptr<internal::websocket_codec> codec_;
  std::string send_queue_;
  std::string write_buffer_;
  std::string peer_role_;
  ping_options pings_;
  int unanswered_pings_ = 0;
  std::uint64_t bytes_sent_ = 0;
  std::uint64_t bytes_received_ = 0;
};

// Parses an IP address and port such as "127.0.0.1:8080". Returns false if the text is malformed.
bool ParseEndpoint(const kernel::endpoint& text, boost::asio::ip::tcp::endpoint& parsed);

}  // namespace cornelweir::transport

#endif  // CORNELWEIR_SRC_TRANSPORT_LINK_H_
