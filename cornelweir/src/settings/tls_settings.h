#ifndef CORNELWEIR_SRC_SETTINGS_TLS_SETTINGS_H_
#define CORNELWEIR_SRC_SETTINGS_TLS_SETTINGS_H_

#include <string>

namespace cornelweir::settings {

// Mutual TLS on all connections between hosts. Off only where every listen address is loopback.
struct tls_settings {
  bool enabled = false;
  std::string certificate_file;
  std::string key_file;
  std::string authority_file;
};

}  // namespace cornelweir::settings

#endif  // CORNELWEIR_SRC_SETTINGS_TLS_SETTINGS_H_
