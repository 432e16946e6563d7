#ifndef CORNELWEIR_SRC_DISTRIBUTION_PROOF_H_
#define CORNELWEIR_SRC_DISTRIBUTION_PROOF_H_

#include <string_view>
#include <tuple>

#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"

namespace cornelweir::distribution {

// Answers a proof query: these were the newest version and revision when it was answered.
struct proof {
  static constexpr std::string_view kType = "proof";

  kernel::nonce nonce;
  kernel::table_version version;
  kernel::membership_revision revision;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"nonce", &proof::nonce},
                      kernel::field{"version", &proof::version},
                      kernel::field{"revision", &proof::revision}};
  }
  friend bool operator==(const proof&, const proof&) = default;
};

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_PROOF_H_
