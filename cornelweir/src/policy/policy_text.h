#ifndef CORNELWEIR_SRC_POLICY_POLICY_TEXT_H_
#define CORNELWEIR_SRC_POLICY_POLICY_TEXT_H_

#include <tuple>

#include "cornelweir/src/kernel/byte_string.h"
#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"

namespace cornelweir::policy {

// The text in which operators submitted a policy. They get it back unchanged: it may say more than
// the policy_table that daemons enforce, and say the same in another way.
struct policy_text {
  // Compressed by codec::Deflate().
  kernel::byte_string deflated;
  // The digest of the content. Texts that differ only in layout have the same.
  kernel::policy_digest digest;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"deflated", &policy_text::deflated},
                      kernel::field{"digest", &policy_text::digest}};
  }
  friend bool operator==(const policy_text&, const policy_text&) = default;
};

}  // namespace cornelweir::policy

#endif  // CORNELWEIR_SRC_POLICY_POLICY_TEXT_H_
