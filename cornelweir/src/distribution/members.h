#ifndef CORNELWEIR_SRC_DISTRIBUTION_MEMBERS_H_
#define CORNELWEIR_SRC_DISTRIBUTION_MEMBERS_H_

#include <string_view>
#include <tuple>
#include <vector>

#include "cornelweir/src/distribution/ids.h"
#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/membership/member_change.h"

namespace cornelweir::distribution {

// Members of the services in scope: all of them if `full`, otherwise the changes since `base`.
struct members {
  static constexpr std::string_view kType = "members";

  kernel::membership_revision base;
  kernel::membership_revision revision;
  // The table version whose scope determined the services. Shows a subscriber whose newer scope has
  // more services that it does not have the members of those yet.
  kernel::table_version scope_version;
  std::vector<membership::member_change> changes;
  bool full = false;
  transfer_id transfer;
  piece_number piece;
  piece_number pieces{1};

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"base", &members::base},
                      kernel::field{"revision", &members::revision},
                      kernel::field{"scope_version", &members::scope_version},
                      kernel::field{"changes", &members::changes},
                      kernel::field{"full", &members::full},
                      kernel::field{"transfer", &members::transfer},
                      kernel::field{"piece", &members::piece},
                      kernel::field{"pieces", &members::pieces}};
  }
  friend bool operator==(const members&, const members&) = default;
};

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_MEMBERS_H_
