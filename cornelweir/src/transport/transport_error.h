#ifndef CORNELWEIR_SRC_TRANSPORT_TRANSPORT_ERROR_H_
#define CORNELWEIR_SRC_TRANSPORT_TRANSPORT_ERROR_H_

#include <cstdint>
#include <string>

namespace cornelweir::transport {

// Which step of the setup failed.
enum class transport_fault : std::uint8_t { kInvalidEndpoint, kListenFailed, kInvalidTlsFile };

// Why a connection or listener could not be set up.
struct transport_error {
  transport_fault fault = transport_fault::kInvalidEndpoint;
  // The endpoint, file or TLS setting concerned, with the system's error message if there is one.
  std::string detail;
};

}  // namespace cornelweir::transport

#endif  // CORNELWEIR_SRC_TRANSPORT_TRANSPORT_ERROR_H_
