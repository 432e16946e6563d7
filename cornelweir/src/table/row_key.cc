#include "cornelweir/src/table/row_key.h"

#include <array>
#include <cstddef>
#include <utility>

namespace cornelweir::table {
namespace internal {

template <std::size_t... Index>
constexpr std::array<std::string_view, kRowKinds> KindNames(std::index_sequence<Index...>) {
  return {std::variant_alternative_t<Index, row_content>::kType...};
}

constexpr auto kKindNames = KindNames(std::make_index_sequence<kRowKinds>{});

}  // namespace internal

std::string_view RowKindName(row_kind kind) {
  return internal::kKindNames[static_cast<std::size_t>(kind)];
}

bool ParseRowKind(std::string_view name, row_kind& kind) {
  for (std::size_t index = 0; index < kRowKinds; ++index) {
    if (internal::kKindNames[index] != name) continue;
    kind = static_cast<row_kind>(index);
    return true;
  }
  return false;
}

std::string ToString(const row_key& key) {
  return std::string(RowKindName(key.kind)) + "/" + key.name;
}

row_key KeyOf(const kernel::service_name& service) { return {row_kind::kService, service.value()}; }
row_key KeyOf(const kernel::limit_name& limit) { return {row_kind::kLimit, limit.value()}; }
row_key KeyOf(const kernel::wait_name& wait) { return {row_kind::kWait, wait.value()}; }

row_key SplitKey(const kernel::service_name& service, const kernel::subset_name& subset) {
  return {row_kind::kSplit, service.value() + "/" + subset.value()};
}

kernel::service_name SplitService(const row_key& key) {
  const std::size_t slash = key.name.find('/');
  if (slash == std::string::npos) return {};
  return kernel::service_name(key.name.substr(0, slash));
}

kernel::subset_name SplitSubset(const row_key& key) {
  const std::size_t slash = key.name.find('/');
  if (slash == std::string::npos) return {};
  return kernel::subset_name(key.name.substr(slash + 1));
}

}  // namespace cornelweir::table
