#ifndef CORNELWEIR_PLUGINS_FINGERPRINT_TEXT_H_
#define CORNELWEIR_PLUGINS_FINGERPRINT_TEXT_H_

#include <cstddef>
#include <string>
#include <vector>

#include "cornelweir/kernel.h"

namespace cornelweir::plugins {

// Fingerprints for a log line, separated by commas. Those beyond the first 8 are left out.
inline std::string JoinFingerprints(const std::vector<kernel::fingerprint>& fingerprints) {
  constexpr std::size_t kMaxListed = 8;
  std::string text;
  for (std::size_t i = 0; i < fingerprints.size() && i < kMaxListed; ++i) {
    if (i > 0) text += ',';
    text += std::to_string(fingerprints[i].value());
  }
  return text;
}

}  // namespace cornelweir::plugins

#endif  // CORNELWEIR_PLUGINS_FINGERPRINT_TEXT_H_
