#ifndef PROGRAMS_CORNELWEIRCTL_TLS_FILES_H_
#define PROGRAMS_CORNELWEIRCTL_TLS_FILES_H_

#include <string>

namespace cornelweir::ctl {

// PEM files for mutual TLS. No TLS if all are empty.
struct tls_files {
  std::string certificate;
  std::string key;
  std::string authority;

  bool empty() const { return certificate.empty() && key.empty() && authority.empty(); }
};

}  // namespace cornelweir::ctl

#endif  // PROGRAMS_CORNELWEIRCTL_TLS_FILES_H_
