#ifndef CORNELWEIR_SRC_QUARANTINE_REQUEST_FINGERPRINT_H_
#define CORNELWEIR_SRC_QUARANTINE_REQUEST_FINGERPRINT_H_

#include <string_view>

#include "cornelweir/src/kernel/ids.h"

namespace cornelweir::quarantine {

// What makes two requests the same one: what is asked, and by which workspace. Ids of a request and
// the daemon at which it arrives are no part of it, since a resend changes them.
struct request_identity {
  std::string_view workspace;
  std::string_view method;
  std::string_view host;
  std::string_view target;
  std::string_view body;
};

// Stands for a request that has no fingerprint. It is never recorded or refused.
inline constexpr kernel::fingerprint kNoFingerprint{};

// Never returns kNoFingerprint.
kernel::fingerprint FingerprintOf(const request_identity& request);

}  // namespace cornelweir::quarantine

#endif  // CORNELWEIR_SRC_QUARANTINE_REQUEST_FINGERPRINT_H_
