#ifndef CORNELWEIR_SRC_TRANSPORT_WEBSOCKET_CODEC_H_
#define CORNELWEIR_SRC_TRANSPORT_WEBSOCKET_CODEC_H_

// This header is included by C++20 files and by websocket_codec.cc, which is compiled as C++17
// because websocketpp does not compile as C++20. It must use nothing newer than C++17, and no Boost
// headers, because their inline code differs between the two standards.

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace cornelweir::transport::internal {

// One side of a WebSocket connection, independent of the socket: converts between whole messages
// and the bytes on the connection.
class websocket_codec {
 public:
  enum class side { kServer, kClient };

  // Callbacks are invoked from within Start(), Feed(), Send() and Close().
  struct callbacks {
    std::function<void(const char* data, std::size_t size)> write;
    std::function<void()> opened;
    std::function<void(const std::string& payload)> message;
    // The peer answered a ping.
    std::function<void()> pong;
    std::function<void(const std::string& reason)> closed;
  };

  websocket_codec(side local_side, std::size_t max_message_bytes, callbacks handlers);
  ~websocket_codec();
  websocket_codec(const websocket_codec&) = delete;
  websocket_codec& operator=(const websocket_codec&) = delete;

  // Starts the opening handshake.
  void Start();
  // Processes bytes received from the peer.
  void Feed(const char* data, std::size_t size);
  // Sends one binary message. Returns false if the connection is not open.
  bool Send(const std::string& payload);
  // Sends a ping, which each peer answers. Does nothing if the connection is not open.
  void Ping();
  // Starts the closing handshake.
  void Close(const std::string& reason);

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace cornelweir::transport::internal

#endif  // CORNELWEIR_SRC_TRANSPORT_WEBSOCKET_CODEC_H_
