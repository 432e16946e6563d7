#ifndef CORNELWEIR_SRC_TABLE_CONFIGURATION_H_
#define CORNELWEIR_SRC_TABLE_CONFIGURATION_H_

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/table/row_key.h"
#include "cornelweir/src/table/rows.h"

namespace cornelweir::table {

// All rows of a table, or of the part of it that one daemon needs.
using row_map = std::map<row_key, row_content>;

// Finds a row of the given type, or null.
template <class Row>
const Row* FindRow(const row_map& rows, const row_key& key) {
  const auto found = rows.find(key);
  return found == rows.end() ? nullptr : std::get_if<Row>(&found->second);
}

// One row that differs between two tables; no content means that the row is gone.
struct row_change {
  row_key key;
  std::optional<row_content> content;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"key", &row_change::key},
                      kernel::field{"content", &row_change::content}};
  }
  friend bool operator==(const row_change&, const row_change&) = default;
};

// The changes that turn one table into the other, in the order of their keys.
std::vector<row_change> DeltaBetween(const row_map& from, const row_map& to);

// Applies changes to rows.
void ApplyDelta(const std::vector<row_change>& delta, row_map& rows);

// What is wrong with a table, and where.
struct table_fault {
  row_key key;
  std::string cell;
  std::string reason;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"key", &table_fault::key},
                      kernel::field{"cell", &table_fault::cell},
                      kernel::field{"reason", &table_fault::reason}};
  }
  friend bool operator==(const table_fault&, const table_fault&) = default;
};

// Every fault of a table: cells out of range, references to absent rows, cycles of calls, call
// chains that are too deep, services whose weights sum to 0. Empty if it may be accepted.
std::vector<table_fault> Validate(const row_map& rows);

// Whether each reference of each row names a row that is there too. The calls of services are
// not followed: a daemon holds the services that its own one calls, but not what those call.
bool IsClosed(const row_map& rows);

// The part of a table that the daemons beside the upstreams of a service need: the service, those
// that it calls, their splits, limits and waits, and the routes to them.
row_map ScopeOf(const row_map& rows, const kernel::service_name& service);

}  // namespace cornelweir::table

#endif  // CORNELWEIR_SRC_TABLE_CONFIGURATION_H_
