#ifndef CORNELWEIR_SRC_POLICY_HOST_KEY_H_
#define CORNELWEIR_SRC_POLICY_HOST_KEY_H_

#include <algorithm>
#include <string>
#include <string_view>

namespace cornelweir::policy {

// The form in which hosts are compared: in lower case and without the port.
inline std::string HostKey(std::string_view host) {
  std::string key(host.substr(0, host.find(':')));
  std::transform(key.begin(), key.end(), key.begin(), [](char letter) {
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
  });
  return key;
}

}  // namespace cornelweir::policy

#endif  // CORNELWEIR_SRC_POLICY_HOST_KEY_H_
