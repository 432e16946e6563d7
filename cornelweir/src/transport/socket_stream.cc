#include "cornelweir/src/transport/socket_stream.h"

#include <openssl/ssl.h>
#include <openssl/x509.h>

#include <array>

#include "cornelweir/src/transport/limits.h"

namespace cornelweir::transport::internal {

void socket_stream::SetLinkOptions() {
  boost::system::error_code ignored;
  socket& plain = lowest();
  plain.non_blocking(true, ignored);
  loop::ConfigureTcpSocket(plain, kLinkSilence);
}

std::array<char, kReadBufferBytes>& socket_stream::Scratch() {
  static std::array<char, kReadBufferBytes> scratch;
  return scratch;
}

std::string socket_stream::PeerRole() {
  if (!secure_) return {};
  X509* certificate = SSL_get1_peer_certificate(secure_->native_handle());
  if (certificate == nullptr) return {};
  std::array<char, 64> unit{};
  const int length =
      X509_NAME_get_text_by_NID(X509_get_subject_name(certificate), NID_organizationalUnitName,
                                unit.data(), static_cast<int>(unit.size()));
  X509_free(certificate);
  return length > 0 ? std::string(unit.data(), static_cast<std::size_t>(length)) : std::string();
}

}  // namespace cornelweir::transport::internal
