#include "cornelweir/src/quarantine/request_fingerprint.h"

#include <xxhash.h>

#include <cstdint>

namespace cornelweir::quarantine {

// Each part is hashed with the hash of the parts before it as the seed, so that moving bytes from
// one part to the next changes the fingerprint.
kernel::fingerprint FingerprintOf(const request_identity& request) {
  std::uint64_t hash = 0;
  for (const std::string_view part :
       {request.workspace, request.method, request.host, request.target, request.body}) {
    hash = XXH64(part.data(), part.size(), hash);
  }
  const kernel::fingerprint fingerprint(hash);
  return fingerprint == kNoFingerprint ? kernel::fingerprint(1) : fingerprint;
}

}  // namespace cornelweir::quarantine
