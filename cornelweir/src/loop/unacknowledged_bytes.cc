#include "cornelweir/src/loop/unacknowledged_bytes.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace cornelweir::loop {

std::size_t UnacknowledgedBytes(boost::asio::ip::tcp::socket& socket) {
  int bytes = 0;
  if (::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) != 0 || bytes < 0) return 0;
  return static_cast<std::size_t>(bytes);
}

}  // namespace cornelweir::loop
