#include <gtest/gtest.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

#include <boost/asio/ssl/context.hpp>
#include <cstdio>
#include <filesystem>
#include <memory>
#include <sstream>
#include <string>

#include "programs/cornelweirctl/command_line.h"
#include "tests/fake_control_host.h"

namespace cornelweir::ctl {
namespace {

// Writes a new key and a certificate that it signs itself to <stem>.key and <stem>.pem.
void WriteCertificate(const std::string& stem) {
  const std::unique_ptr<EVP_PKEY, void (*)(EVP_PKEY*)> key(EVP_EC_gen("P-256"), EVP_PKEY_free);
  const std::unique_ptr<X509, void (*)(X509*)> certificate(X509_new(), X509_free);
  X509_set_version(certificate.get(), X509_VERSION_3);
  ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), 1);
  X509_gmtime_adj(X509_getm_notBefore(certificate.get()), -3600);
  X509_gmtime_adj(X509_getm_notAfter(certificate.get()), 3600);
  X509_set_pubkey(certificate.get(), key.get());
  X509_NAME* name = X509_get_subject_name(certificate.get());
  X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC,
                             reinterpret_cast<const unsigned char*>("control-1"), -1, -1, 0);
  X509_set_issuer_name(certificate.get(), name);
  X509_sign(certificate.get(), key.get(), EVP_sha256());
  const auto write = [&](const std::string& path, auto write_pem) {
    std::FILE* file = std::fopen(path.c_str(), "w");
    ASSERT_NE(file, nullptr);
    write_pem(file);
    std::fclose(file);
  };
  write(stem + ".key", [&](std::FILE* file) {
    PEM_write_PrivateKey(file, key.get(), nullptr, nullptr, 0, nullptr, nullptr);
  });
  write(stem + ".pem", [&](std::FILE* file) { PEM_write_X509(file, certificate.get()); });
}

// Guards against a client that talks to a host that its authority has not signed, or that does not
// show its own certificate.
TEST(CommandOverTls, TrustsOnlyHostsOfItsAuthority) {
  namespace ssl = boost::asio::ssl;
  const std::string folder = std::filesystem::temp_directory_path() / "cornelweir_ctl_tls_test";
  std::filesystem::create_directories(folder);
  const std::string own = folder + "/own";
  const std::string foreign = folder + "/foreign";
  WriteCertificate(own);
  WriteCertificate(foreign);
  ssl::context server(ssl::context::tls_server);
  server.use_certificate_chain_file(own + ".pem");
  server.use_private_key_file(own + ".key", ssl::context::pem);
  server.load_verify_file(own + ".pem");
  server.set_verify_mode(ssl::verify_peer | ssl::verify_fail_if_no_peer_cert);

  boost::asio::io_context loop(1);
  kernel::seeded_random random(7);
  fake_control_host host(loop, &server);
  host.answer_with = [](const fake_control_host::request&) {
    return fake_control_host::answer(200, {{"version", 3}, {"rows", codec::json::array()}});
  };
  const auto run = [&](const std::string& identity, const std::string& authority) {
    const retry_policy retry{1, kernel::milliseconds(0), kernel::milliseconds(0), kAttemptTimeout};
    std::ostringstream out;
    return RunCommand({"table", "--certificate", identity + ".pem", "--key", identity + ".key",
                       "--authority", authority + ".pem"},
                      {host.Endpoint(), "ana", retry}, loop, random, out, out);
  };
  EXPECT_EQ(run(own, own), exit_code::kOk);
  EXPECT_EQ(run(own, foreign), exit_code::kUnavailable);
  EXPECT_EQ(run(foreign, own), exit_code::kUnavailable);
  EXPECT_EQ(run(folder + "/absent", own), exit_code::kUsage);
  EXPECT_EQ(host.requests.size(), 1U);
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace cornelweir::ctl
