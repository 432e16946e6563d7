#ifndef CORNELWEIR_SRC_TRANSPORT_TLS_CONTEXT_H_
#define CORNELWEIR_SRC_TRANSPORT_TLS_CONTEXT_H_

#include <boost/asio/ssl/context.hpp>
#include <boost/leaf.hpp>
#include <memory>
#include <string>

namespace cornelweir::transport {

// Where the keys of this process lie, all in PEM form.
struct tls_files {
  std::string certificate_file;
  std::string key_file;
  std::string authority_file;
};

// The keys of this process, for mutual authentication. A context is replaced as a whole when the
// files are read again; links that are open keep the one that they began with.
using tls_context = std::shared_ptr<boost::asio::ssl::context>;

// Reads the files. The error is a transport_error.
boost::leaf::result<tls_context> LoadTlsContext(const tls_files& files);

}  // namespace cornelweir::transport

#endif  // CORNELWEIR_SRC_TRANSPORT_TLS_CONTEXT_H_
