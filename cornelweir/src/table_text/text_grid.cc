#include "cornelweir/src/table_text/text_grid.h"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

#include "cornelweir/src/table_text/cell.h"

namespace cornelweir::table_text {
namespace internal {
namespace {

std::string Printable(std::string cell) {
  for (char& c : cell) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte < 0x20 || byte == 0x7f) c = '?';
  }
  return cell.empty() ? "-" : cell;
}

// Code points of UTF-8 text; continuation bytes take no column.
std::size_t Width(std::string_view text) {
  return static_cast<std::size_t>(std::count_if(text.begin(), text.end(), [](char c) {
    return (static_cast<unsigned char>(c) & 0xC0) != 0x80;
  }));
}

}  // namespace
}  // namespace internal

void text_grid::AddLine(std::vector<std::string> cells) {
  for (std::string& cell : cells) cell = internal::Printable(std::move(cell));
  lines_.push_back(std::move(cells));
}

std::string text_grid::Text() const {
  std::vector<std::size_t> widths;
  for (const auto& line : lines_) {
    widths.resize(std::max(widths.size(), line.size()));
    for (std::size_t column = 0; column < line.size(); ++column) {
      widths[column] = std::max(widths[column], internal::Width(line[column]));
    }
  }
  std::string text;
  for (const auto& line : lines_) {
    for (std::size_t column = 0; column < line.size(); ++column) {
      text += line[column];
      if (column + 1 == line.size()) continue;
      text.append(widths[column] - internal::Width(line[column]) + 2, ' ');
    }
    text += '\n';
  }
  return text;
}

std::string WriteText(const table::row_map& rows) {
  std::string text;
  auto row = rows.begin();
  while (row != rows.end()) {
    const table::row_kind kind = row->first.kind;
    const std::vector<std::string_view> cells = CellNames(kind);
    text_grid grid;
    std::vector<std::string> header{std::string(table::RowKindName(kind))};
    header.insert(header.end(), cells.begin(), cells.end());
    grid.AddLine(std::move(header));
    for (; row != rows.end() && row->first.kind == kind; ++row) {
      std::vector<std::string> line{row->first.name};
      for (const std::string_view cell : cells) line.push_back(CellText(row->second, cell));
      grid.AddLine(std::move(line));
    }
    if (!text.empty()) text += '\n';
    text += grid.Text();
  }
  return text;
}

}  // namespace cornelweir::table_text
