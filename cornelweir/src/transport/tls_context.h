#ifndef CORNELWEIR_SRC_TRANSPORT_TLS_CONTEXT_H_
#define CORNELWEIR_SRC_TRANSPORT_TLS_CONTEXT_H_

#include <boost/asio/ssl/context.hpp>
#include <boost/leaf.hpp>
#include <memory>
#include <string>

namespace cornelweir::transport {

// Paths of the TLS files of this process, all in PEM format.
struct tls_files {
  std::string certificate_file;
  std::string key_file;
  std::string authority_file;
};

// Keys and certificates of this process, for mutual authentication. Reloading the files creates a
// new context; open links keep the one that they were created with.
using tls_context = std::shared_ptr<boost::asio::ssl::context>;

// Creates a TLS context from the files. The error is a transport_error whose detail names the
// file or setting.
boost::leaf::result<tls_context> LoadTlsContext(const tls_files& files);

}  // namespace cornelweir::transport

#endif  // CORNELWEIR_SRC_TRANSPORT_TLS_CONTEXT_H_
