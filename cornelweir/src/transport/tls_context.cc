#include "cornelweir/src/transport/tls_context.h"

#include <boost/system/error_code.hpp>

#include "cornelweir/src/transport/transport_error.h"

namespace cornelweir::transport {

boost::leaf::result<tls_context> LoadTlsContext(const tls_files& files) {
  namespace ssl = boost::asio::ssl;
  auto context = std::make_shared<ssl::context>(ssl::context::tls);
  boost::system::error_code error;
  const auto make_error = [&](const std::string& failed_item) {
    return boost::leaf::new_error(
        transport_error{transport_fault::kInvalidTlsFile, failed_item + ": " + error.message()});
  };
  context->set_options(
      ssl::context::default_workarounds | ssl::context::no_tlsv1 | ssl::context::no_tlsv1_1, error);
  if (error) return make_error("options");
  context->set_verify_mode(ssl::verify_peer | ssl::verify_fail_if_no_peer_cert, error);
  if (error) return make_error("verify mode");
  context->load_verify_file(files.authority_file, error);
  if (error) return make_error(files.authority_file);
  context->use_certificate_chain_file(files.certificate_file, error);
  if (error) return make_error(files.certificate_file);
  context->use_private_key_file(files.key_file, ssl::context::pem, error);
  if (error) return make_error(files.key_file);
  return context;
}

}  // namespace cornelweir::transport
