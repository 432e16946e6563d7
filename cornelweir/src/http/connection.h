#ifndef CORNELWEIR_SRC_HTTP_CONNECTION_H_
#define CORNELWEIR_SRC_HTTP_CONNECTION_H_

#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <utility>

#include "cornelweir/src/http/limits.h"
#include "cornelweir/src/http/message_reader.h"
#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/loop/event_loop.h"

namespace cornelweir::http::internal {

enum class socket_state : std::uint8_t { kEmpty, kReadable, kClosed };

// Returns the state of a non-blocking socket without consuming any bytes.
inline socket_state Peek(boost::asio::ip::tcp::socket& socket) {
  char byte = 0;
  boost::system::error_code error;
  const std::size_t size = socket.receive(boost::asio::buffer(&byte, 1),
                                          boost::asio::ip::tcp::socket::message_peek, error);
  if (error == boost::asio::error::would_block || error == boost::asio::error::try_again) {
    return socket_state::kEmpty;
  }
  return error || size == 0 ? socket_state::kClosed : socket_state::kReadable;
}

// A connection to a server, owned by the pool while idle and by one request otherwise.
struct connection {
  explicit connection(loop::event_loop& loop)
      : socket(loop.context()), reader(socket, kMaxHeaderBytes) {}

  void Close() {
    boost::system::error_code ignored;
    socket.close(ignored);
  }

  boost::asio::ip::tcp::socket socket;
  message_reader<false> reader;
  kernel::time_point idle_since;
  bool idle = false;
  // Whether a wait for readability is pending. It may outlast an idle period.
  bool read_wait_pending = false;
};

}  // namespace cornelweir::http::internal

#endif  // CORNELWEIR_SRC_HTTP_CONNECTION_H_
