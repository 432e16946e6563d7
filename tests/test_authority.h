#ifndef CORNELWEIR_TESTS_TEST_AUTHORITY_H_
#define CORNELWEIR_TESTS_TEST_AUTHORITY_H_

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <cstdio>
#include <filesystem>
#include <memory>
#include <string>

#include "cornelweir/transport.h"

namespace cornelweir::tests {

// A certificate authority for tests. Keys are made anew in each run, so that none lies in the
// repository and none expires.
class test_authority {
 public:
  explicit test_authority(const std::filesystem::path& folder) : folder_(folder) {
    std::filesystem::create_directories(folder_);
    certificate_ = Issue("test authority", "", key_.get());
    WriteCertificate(folder_ / "authority.pem", certificate_.get());
  }

  // Keys whose certificate names a role in its organizational unit.
  transport::tls_files Issue(const std::string& name, const std::string& role) {
    const key_ptr key(EVP_EC_gen("P-256"), EVP_PKEY_free);
    const certificate_ptr issued = Issue(name, role, key.get());
    transport::tls_files files;
    files.authority_file = (folder_ / "authority.pem").string();
    files.certificate_file = (folder_ / (name + ".pem")).string();
    files.key_file = (folder_ / (name + ".key")).string();
    WriteCertificate(files.certificate_file, issued.get());
    std::FILE* out = std::fopen(files.key_file.c_str(), "w");
    PEM_write_PrivateKey(out, key.get(), nullptr, nullptr, 0, nullptr, nullptr);
    std::fclose(out);
    return files;
  }

 private:
  using key_ptr = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
  using certificate_ptr = std::unique_ptr<X509, decltype(&X509_free)>;

  certificate_ptr Issue(const std::string& name, const std::string& role, EVP_PKEY* subject_key) {
    certificate_ptr issued(X509_new(), X509_free);
    X509_set_version(issued.get(), X509_VERSION_3);
    ASN1_INTEGER_set(X509_get_serialNumber(issued.get()), ++serial_);
    X509_gmtime_adj(X509_getm_notBefore(issued.get()), -3600);
    X509_gmtime_adj(X509_getm_notAfter(issued.get()), 3600);
    X509_set_pubkey(issued.get(), subject_key);
    X509_NAME* subject = X509_get_subject_name(issued.get());
    AddName(subject, "CN", name);
    if (!role.empty()) AddName(subject, "OU", role);
    X509* issuer = certificate_ ? certificate_.get() : issued.get();
    X509_set_issuer_name(issued.get(), X509_get_subject_name(issuer));
    if (!certificate_) {
      X509_EXTENSION* extension =
          X509V3_EXT_conf_nid(nullptr, nullptr, NID_basic_constraints, "critical,CA:TRUE");
      X509_add_ext(issued.get(), extension, -1);
      X509_EXTENSION_free(extension);
    }
    X509_sign(issued.get(), key_.get(), EVP_sha256());
    return issued;
  }

  static void AddName(X509_NAME* name, const char* field, const std::string& value) {
    X509_NAME_add_entry_by_txt(name, field, MBSTRING_UTF8,
                               reinterpret_cast<const unsigned char*>(value.c_str()), -1, -1, 0);
  }

  static void WriteCertificate(const std::filesystem::path& path, X509* certificate) {
    std::FILE* out = std::fopen(path.c_str(), "w");
    PEM_write_X509(out, certificate);
    std::fclose(out);
  }

  std::filesystem::path folder_;
  key_ptr key_{EVP_EC_gen("P-256"), EVP_PKEY_free};
  certificate_ptr certificate_{nullptr, X509_free};
  long serial_ = 0;  // NOLINT(google-runtime-int): the type that ASN1_INTEGER_set takes
};

}  // namespace cornelweir::tests

#endif  // CORNELWEIR_TESTS_TEST_AUTHORITY_H_
