#include "cornelweir/src/table_text/cell.h"

#include <cstddef>
#include <utility>
#include <variant>

#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/nearest_name.h"
#include "cornelweir/src/table_text/cell_traits.h"
#include "cornelweir/src/table_text/table_text_error.h"

namespace cornelweir::table_text {
namespace internal {
namespace {

template <std::size_t... Index>
table::row_content EmptyRow(table::row_kind kind, std::index_sequence<Index...>) {
  table::row_content content;
  ((static_cast<std::size_t>(kind) == Index ? (void)content.emplace<Index>() : (void)0), ...);
  return content;
}

boost::leaf::error_id Refuse(std::string_view cell, std::string reason) {
  return boost::leaf::new_error(table_text_error{{{0, std::string(cell), std::move(reason)}}});
}

std::string WithNearest(std::string reason, std::string_view name,
                        const std::vector<std::string_view>& known) {
  const std::string_view nearest = kernel::NearestName(name, known);
  if (!nearest.empty()) return reason + "; did you mean '" + std::string(nearest) + "'?";
  reason += "; known are";
  for (const std::string_view each : known) reason += " " + std::string(each);
  return reason;
}

}  // namespace
}  // namespace internal

table::row_content EmptyRow(table::row_kind kind) {
  return internal::EmptyRow(kind, std::make_index_sequence<table::kRowKinds>{});
}

std::vector<std::string_view> CellNames(table::row_kind kind) {
  std::vector<std::string_view> names;
  const table::row_content content = EmptyRow(kind);
  std::visit(
      [&](const auto& row) {
        kernel::ForEachField(row,
                             [&](std::string_view name, const auto&) { names.push_back(name); });
      },
      content);
  return names;
}

boost::leaf::result<table::row_key> ParseKey(std::string_view text) {
  table::row_key key;
  const std::size_t slash = text.find('/');
  if (slash == std::string_view::npos || slash + 1 == text.size()) {
    return internal::Refuse("", "'" + std::string(text) +
                                    "' is not a key; a key has the form kind/name, for example "
                                    "service/forms or split/forms/v1");
  }
  const std::string_view kind = text.substr(0, slash);
  if (!table::ParseRowKind(kind, key.kind)) {
    std::vector<std::string_view> kinds;
    for (std::size_t index = 0; index < table::kRowKinds; ++index) {
      kinds.push_back(table::RowKindName(static_cast<table::row_kind>(index)));
    }
    return internal::Refuse(
        "", internal::WithNearest("'" + std::string(kind) + "' is not a kind of row", kind, kinds));
  }
  key.name = std::string(text.substr(slash + 1));
  return key;
}

boost::leaf::result<void> SetCell(table::row_content& content, std::string_view cell,
                                  std::string_view text) {
  bool known = false;
  const char* reason = nullptr;
  std::visit(
      [&](auto& row) {
        kernel::ForEachField(row, [&]<class T>(std::string_view name, T& member) {
          if (name != cell) return;
          known = true;
          T parsed{};
          reason = internal::cell_traits<T>::Parse(text, parsed);
          if (reason == nullptr) member = std::move(parsed);
        });
      },
      content);
  if (!known) {
    const auto kind = static_cast<table::row_kind>(content.index());
    return internal::Refuse(
        cell, internal::WithNearest(
                  "a " + std::string(table::RowKindName(kind)) + " row has no such cell", cell,
                  CellNames(kind)));
  }
  if (reason != nullptr) {
    return internal::Refuse(cell, "'" + std::string(text) + "' " + reason);
  }
  return {};
}

std::string CellText(const table::row_content& content, std::string_view cell) {
  std::string text;
  std::visit(
      [&](const auto& row) {
        kernel::ForEachField(row, [&]<class T>(std::string_view name, const T& member) {
          if (name == cell) text = internal::cell_traits<T>::Text(member);
        });
      },
      content);
  return text;
}

}  // namespace cornelweir::table_text
