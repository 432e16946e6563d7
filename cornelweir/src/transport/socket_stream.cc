#include "cornelweir/src/transport/socket_stream.h"

#include <openssl/ssl.h>
#include <openssl/x509.h>

#include <array>

#include "cornelweir/src/loop/unacknowledged_bytes.h"
#include "cornelweir/src/transport/limits.h"

namespace cornelweir::transport::internal {

void socket_stream::ConfigureSocket() {
  boost::system::error_code ignored;
  socket& lowest_layer = tcp_socket();
  lowest_layer.non_blocking(true, ignored);
  loop::ConfigureTcpSocket(lowest_layer, kLinkKeepaliveOptions);
}

std::array<char, kReadBufferBytes>& socket_stream::SharedReadBuffer() {
  static std::array<char, kReadBufferBytes> buffer;
  return buffer;
}

std::size_t socket_stream::UnacknowledgedBytes() { return loop::UnacknowledgedBytes(tcp_socket()); }

std::string socket_stream::PeerRole() {
  if (!tls_stream_) return {};
  X509* certificate = SSL_get1_peer_certificate(tls_stream_->native_handle());
  if (certificate == nullptr) return {};
  std::array<char, 64> organizational_unit{};
  const int length = X509_NAME_get_text_by_NID(
      X509_get_subject_name(certificate), NID_organizationalUnitName, organizational_unit.data(),
      static_cast<int>(organizational_unit.size()));
  X509_free(certificate);
  return length > 0 ? std::string(organizational_unit.data(), static_cast<std::size_t>(length))
                    : std::string();
}

}  // namespace cornelweir::transport::internal
