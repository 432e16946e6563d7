#ifndef CORNELWEIR_SRC_TRANSPORT_TRANSPORT_ERROR_H_
#define CORNELWEIR_SRC_TRANSPORT_TRANSPORT_ERROR_H_

#include <cstdint>
#include <string>

namespace cornelweir::transport {

enum class transport_fault : std::uint8_t { kBadEndpoint, kCannotListen, kBadKeyFile };

// Why a connection or listener could not be set up.
struct transport_error {
  transport_fault fault = transport_fault::kBadEndpoint;
  std::string detail;
};

}  // namespace cornelweir::transport

#endif  // CORNELWEIR_SRC_TRANSPORT_TRANSPORT_ERROR_H_
