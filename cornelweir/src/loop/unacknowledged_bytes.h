#ifndef CORNELWEIR_SRC_LOOP_UNACKNOWLEDGED_BYTES_H_
#define CORNELWEIR_SRC_LOOP_UNACKNOWLEDGED_BYTES_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>

namespace cornelweir::loop {

// Returns the bytes that were written to the socket and that the other end of the connection has
// not acknowledged yet; 0 if the system does not tell.
std::size_t UnacknowledgedBytes(boost::asio::ip::tcp::socket& socket);

}  // namespace cornelweir::loop

#endif  // CORNELWEIR_SRC_LOOP_UNACKNOWLEDGED_BYTES_H_
