#ifndef CORNELWEIR_SRC_DISTRIBUTION_SCOPE_HISTORY_H_
#define CORNELWEIR_SRC_DISTRIBUTION_SCOPE_HISTORY_H_

#include <deque>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/table/configuration.h"

namespace cornelweir::distribution {

// The service and the services that it calls according to the rows.
std::set<kernel::service_name> ServicesIn(const table::row_map& rows,
                                          const kernel::service_name& service);

// The rows that the daemons of one service need, and the history of their changes.
//
// Each version between the oldest and the newest one is either recorded or skipped. A version is
// skipped if the rows advanced from an older to a newer version in one step. A subscriber that
// holds a skipped version can't be sent a delta.
class scope_history {
 public:
  explicit scope_history(kernel::service_name service)
      : service_(std::move(service)), services_{service_} {}

  const kernel::service_name& service() const { return service_; }
  const table::row_map& rows() const { return rows_; }

  // The newest version. It may be newer than changed_version().
  kernel::table_version version() const { return version_; }

  // The latest version that changed the rows.
  kernel::table_version changed_version() const { return changed_version_; }

  // The services whose members the daemons of this scope need.
  const std::set<kernel::service_name>& services() const { return services_; }

  // The latest version that added one of services().
  kernel::table_version services_version() const { return services_version_; }

  // Advances to a newer version with these rows. Returns whether the rows changed. Ignores versions
  // that are not newer.
  bool Advance(kernel::table_version version, const table::row_map& rows);

  // Advances to a newer version that has the same rows.
  void AdvanceUnchanged(kernel::table_version version);

  // Whether a change of the full table may affect the rows of this scope.
  bool MayBeAffectedBy(const table::row_change& change) const;

  // The newest content of each row that changed after `base_version`. Nothing if the history does
  // not reach back to it or if it was skipped.
  std::optional<std::vector<table::row_change>> ChangesSince(
      kernel::table_version base_version) const;

 private:
  struct version_step {
    // The rows at these two versions are known; versions between them are skipped.
    kernel::table_version base;
    kernel::table_version version;
    std::vector<table::row_key> changed;
  };

  void AppendStep(version_step added);

  kernel::service_name service_;
  table::row_map rows_;
  std::set<kernel::service_name> services_;
  kernel::table_version version_;
  kernel::table_version changed_version_;
  kernel::table_version services_version_;
  // The oldest version for which a delta can be given.
  kernel::table_version oldest_base_;
  std::deque<version_step> history_;
};

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_SCOPE_HISTORY_H_
