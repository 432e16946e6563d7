#ifndef CORNELWEIR_SRC_TRANSPORT_WEBSOCKET_CODEC_H_
#define CORNELWEIR_SRC_TRANSPORT_WEBSOCKET_CODEC_H_

// Included by websocket_codec.cc, which is compiled as C++17 because the library does not compile
// as C++20, and by C++20 files. So it uses nothing newer than C++17 and no header of Boost, whose
// inline code differs between the two.

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace cornelweir::transport::internal {

// One side of a WebSocket connection without a socket: bytes in, bytes out, whole messages.
class websocket_codec {
 public:
  enum class side { kServer, kClient };

  // What the codec tells its owner. Callbacks run inside Start(), Feed(), Send() and Close().
  struct callbacks {
    std::function<void(const char* data, std::size_t size)> write;
    std::function<void()> opened;
    std::function<void(const std::string& payload)> message;
    std::function<void(const std::string& reason)> closed;
  };

  websocket_codec(side which, std::size_t max_message_bytes, callbacks handlers);
  ~websocket_codec();
  websocket_codec(const websocket_codec&) = delete;
  websocket_codec& operator=(const websocket_codec&) = delete;

  // Begins the handshake.
  void Start();
  // Takes bytes that came from the peer.
  void Feed(const char* data, std::size_t size);
  // Sends one binary message. False if the connection is not open.
  bool Send(const std::string& payload);
  // Begins the closing handshake.
  void Close(const std::string& reason);

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace cornelweir::transport::internal

#endif  // CORNELWEIR_SRC_TRANSPORT_WEBSOCKET_CODEC_H_
