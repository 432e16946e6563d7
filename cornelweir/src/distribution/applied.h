#ifndef CORNELWEIR_SRC_DISTRIBUTION_APPLIED_H_
#define CORNELWEIR_SRC_DISTRIBUTION_APPLIED_H_

#include <string_view>
#include <tuple>
#include <vector>

#include "cornelweir/src/distribution/ids.h"
#include "cornelweir/src/distribution/version_count.h"
#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"

namespace cornelweir::distribution {

// A subscriber's report of the version and revision that it enforces, with a summary of the daemons
// that it serves as a relay.
struct applied {
  static constexpr std::string_view kType = "applied";

  kernel::table_version version;
  kernel::membership_revision revision;
  // Daemons served through this one, counted by version, newest first, at most kMaxVersionCounts
  // entries. The last entry also counts the daemons at older versions.
  std::vector<version_count> below;
  // Hosts of some of these daemons whose version is older than `version`, at most kMaxBehindHosts.
  std::vector<kernel::host_id> behind;

  static constexpr auto Fields() {
    return std::tuple{
        kernel::field{"version", &applied::version}, kernel::field{"revision", &applied::revision},
        kernel::field{"below", &applied::below}, kernel::field{"behind", &applied::behind}};
  }
  friend bool operator==(const applied&, const applied&) = default;
};

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_APPLIED_H_
