#include "cornelweir/src/transport/tls_context.h"

#include <boost/system/error_code.hpp>

#include "cornelweir/src/transport/transport_error.h"

namespace cornelweir::transport {

boost::leaf::result<tls_context> LoadTlsContext(const tls_files& files) {
  namespace ssl = boost::asio::ssl;
  auto context = std::make_shared<ssl::context>(ssl::context::tls);
  boost::system::error_code error;
  const auto refuse = [&](const std::string& file) {
    return boost::leaf::new_error(
        transport_error{transport_fault::kBadKeyFile, file + ": " + error.message()});
  };
  context->set_options(
      ssl::context::default_workarounds | ssl::context::no_tlsv1 | ssl::context::no_tlsv1_1, error);
  if (error) return refuse("options");
  context->set_verify_mode(ssl::verify_peer | ssl::verify_fail_if_no_peer_cert, error);
  if (error) return refuse("verify mode");
  context->load_verify_file(files.authority_file, error);
  if (error) return refuse(files.authority_file);
  context->use_certificate_chain_file(files.certificate_file, error);
  if (error) return refuse(files.certificate_file);
  context->use_private_key_file(files.key_file, ssl::context::pem, error);
  if (error) return refuse(files.key_file);
  return context;
}

}  // namespace cornelweir::transport
