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

// The service and those that it calls according to these rows.
std::set<kernel::service_name> ServicesIn(const table::row_map& rows,
                                          const kernel::service_name& service);

// The rows that the daemons of one service need, and how they changed.
//
// Every version between the oldest and the newest one is either known here exactly or skipped. A
// version is skipped if the rows went from an older to a newer version at once. A subscriber that
// holds a skipped version can't be given a delta.
class scope_history {
 public:
  explicit scope_history(kernel::service_name service)
      : service_(std::move(service)), services_{service_} {}

  const kernel::service_name& service() const { return service_; }
  const table::row_map& rows() const { return rows_; }

  // The newest version. May be ahead of the latest one that changed the rows.
  kernel::table_version version() const { return version_; }

  // The latest version that changed the rows.
  kernel::table_version changed_version() const { return changed_version_; }

  // The services whose members the daemons need.
  const std::set<kernel::service_name>& services() const { return services_; }

  // The latest version that added one of services().
  kernel::table_version services_version() const { return services_version_; }

  // Moves to a newer version with these rows. Returns whether the rows changed. Older versions are
  // ignored.
  bool Advance(kernel::table_version version, const table::row_map& rows);

  // Moves to a newer version that has the same rows.
  void AdvanceUnchanged(kernel::table_version version);

  // Whether a change to the whole table may change the rows of this scope.
  bool MayContain(const table::row_change& change) const;

  // The latest content of each row that changed after held. Nothing if the history does not reach
  // back to held or if held was skipped here.
  std::optional<std::vector<table::row_change>> ChangesSince(kernel::table_version held) const;

 private:
  struct step {
    // The rows at base and at version are known; those between are not.
    kernel::table_version base;
    kernel::table_version version;
    std::vector<table::row_key> changed;
  };

  void Move(step taken);

  kernel::service_name service_;
  table::row_map rows_;
  std::set<kernel::service_name> services_;
  kernel::table_version version_;
  kernel::table_version changed_version_;
  kernel::table_version services_version_;
  // The oldest version from which history_ is complete.
  kernel::table_version floor_;
  std::deque<step> history_;
};

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_SCOPE_HISTORY_H_
