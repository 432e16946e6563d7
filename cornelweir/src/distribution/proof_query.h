#ifndef CORNELWEIR_SRC_DISTRIBUTION_PROOF_QUERY_H_
#define CORNELWEIR_SRC_DISTRIBUTION_PROOF_QUERY_H_

#include <string_view>
#include <tuple>

#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"

namespace cornelweir::distribution {

// Requests a proof that is created after this query was sent.
struct proof_query {
  static constexpr std::string_view kType = "proof_query";

  kernel::nonce nonce;

  static constexpr auto Fields() { return std::tuple{kernel::field{"nonce", &proof_query::nonce}}; }
  friend bool operator==(const proof_query&, const proof_query&) = default;
};

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_PROOF_QUERY_H_
