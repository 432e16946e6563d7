#ifndef CORNELWEIR_SRC_TABLE_ROW_KEY_H_
#define CORNELWEIR_SRC_TABLE_ROW_KEY_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>

#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/table/rows.h"

namespace cornelweir::table {

// The kinds of rows, in the order of the alternatives of row_content.
enum class row_kind : std::uint8_t { kService, kSplit, kLimit, kWait, kRoute };

inline constexpr std::size_t kRowKinds = std::variant_size_v<row_content>;
static_assert(kRowKinds == static_cast<std::size_t>(row_kind::kRoute) + 1,
              "row_kind and row_content must list the same kinds in the same order");

// The name of a kind as operators write it, for example "service".
std::string_view RowKindName(row_kind kind);

// Finds the kind with this name. Returns false and leaves kind alone if there is none.
bool ParseRowKind(std::string_view name, row_kind& kind);

// Identifies a row of the table.
struct row_key {
  row_kind kind = row_kind::kService;
  std::string name;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"kind", &row_key::kind}, kernel::field{"name", &row_key::name}};
  }
  friend auto operator<=>(const row_key&, const row_key&) = default;
};

// The key as operators write it, for example "split/forms/v1".
std::string ToString(const row_key& key);

row_key KeyOf(const kernel::service_name& service);
row_key KeyOf(const kernel::limit_name& limit);
row_key KeyOf(const kernel::wait_name& wait);
row_key SplitKey(const kernel::service_name& service, const kernel::subset_name& subset);

// The two parts of a split row's name. Both are empty if the name has no '/'.
kernel::service_name SplitService(const row_key& key);
kernel::subset_name SplitSubset(const row_key& key);

}  // namespace cornelweir::table

#endif  // CORNELWEIR_SRC_TABLE_ROW_KEY_H_
