#ifndef CORNELWEIR_SRC_DISTRIBUTION_VERSION_NOTICE_H_
#define CORNELWEIR_SRC_DISTRIBUTION_VERSION_NOTICE_H_

#include <string_view>
#include <tuple>

#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"

namespace cornelweir::distribution {

// Announces a version in which the scope has the same rows as in base.
struct version_notice {
  static constexpr std::string_view kType = "version_notice";

  kernel::table_version base;
  kernel::table_version version;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"base", &version_notice::base},
                      kernel::field{"version", &version_notice::version}};
  }
  friend bool operator==(const version_notice&, const version_notice&) = default;
};

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_VERSION_NOTICE_H_
