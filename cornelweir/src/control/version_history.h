#ifndef CORNELWEIR_SRC_CONTROL_VERSION_HISTORY_H_
#define CORNELWEIR_SRC_CONTROL_VERSION_HISTORY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "cornelweir/kernel.h"
#include "cornelweir/table.h"

namespace cornelweir::control {

// An accepted version, and the changes that turn its rows into those of the previous version.
struct accepted_version {
  kernel::table_version version;
  std::string author;
  std::string note;
  std::int64_t accepted_at_ms = 0;
  std::vector<table::row_change> undo;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"version", &accepted_version::version},
                      kernel::field{"author", &accepted_version::author},
                      kernel::field{"note", &accepted_version::note},
                      kernel::field{"accepted_at_ms", &accepted_version::accepted_at_ms},
                      kernel::field{"undo", &accepted_version::undo}};
  }
};

// The accepted table and the latest kMaxVersions versions, which are stored as deltas so that a
// version takes memory only for the rows that it changed.
class version_history {
 public:
  kernel::table_version newest() const { return newest_; }
  const table::row_map& rows() const { return rows_; }
  const std::vector<accepted_version>& versions() const { return versions_; }

  // Makes rows the next version and returns its number.
  kernel::table_version Accept(const table::row_map& rows, const std::string& author,
                               const std::string& note, std::int64_t accepted_at_ms);

  // The rows of a version; nullopt if it is unknown or no longer kept.
  std::optional<table::row_map> RowsOf(kernel::table_version version) const;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"newest", &version_history::newest_},
                      kernel::field{"rows", &version_history::rows_},
                      kernel::field{"versions", &version_history::versions_}};
  }

 private:
  kernel::table_version newest_;
  table::row_map rows_;
  std::vector<accepted_version> versions_;
};

}  // namespace cornelweir::control

#endif  // CORNELWEIR_SRC_CONTROL_VERSION_HISTORY_H_
