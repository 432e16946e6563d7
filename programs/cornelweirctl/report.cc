#include "programs/cornelweirctl/report.h"

#include <optional>
#include <string>
#include <string_view>

#include "cornelweir/table_text.h"

namespace cornelweir::ctl {
namespace internal {
namespace {

std::string RowText(const table::row_content& content) {
  std::string text;
  for (const auto cell : table_text::CellNames(static_cast<table::row_kind>(content.index()))) {
    text += " " + std::string(cell) + "='" + table_text::CellText(content, cell) + "'";
  }
  return text;
}

std::string CellOf(const std::optional<table::row_content>& content, std::string_view cell) {
  return content ? table_text::CellText(*content, cell) : "(no row)";
}

}  // namespace
}  // namespace internal

void PrintJson(std::ostream& out, const codec::json& document) {
  out << document.dump(2, ' ', false, codec::json::error_handler_t::replace) << '\n';
}

void PrintFaults(std::ostream& out, const std::vector<table::table_fault>& faults) {
  table_text::text_grid grid;
  for (const table::table_fault& fault : faults) {
    grid.AddLine({table::ToString(fault.key), fault.cell, fault.reason});
  }
  out << grid.Text();
}

void PrintConflicts(std::ostream& out, const std::vector<edits_reply::conflict>& conflicts) {
  for (const auto& conflict : conflicts) {
    out << "conflict: " << table::ToString(conflict.key) << " has row version "
        << conflict.actual_row_version.value() << ", your change is based on "
        << conflict.expected_row_version.value() << "\n";
    table_text::text_grid grid;
    grid.AddLine({"  cell", "current", "yours"});
    for (const auto cell : table_text::CellNames(conflict.key.kind)) {
      const std::string current = internal::CellOf(conflict.current, cell);
      const std::string yours = internal::CellOf(conflict.yours, cell);
      grid.AddLine({(current == yours ? "  " : "* ") + std::string(cell), current, yours});
    }
    out << grid.Text();
  }
  out << "Nothing was changed. Compare both sides; if your change is still wanted, repeat the "
         "command: it will be based on the current row.\n";
}

void PrintDifference(std::ostream& out, const table::row_map& from, const table::row_map& to) {
  for (const table::row_change& change : table::DeltaBetween(from, to)) {
    const std::string key = table::ToString(change.key);
    const auto old_row = from.find(change.key);
    if (!change.content) {
      out << "- " << key << internal::RowText(old_row->second) << "\n";
    } else if (old_row == from.end()) {
      out << "+ " << key << internal::RowText(*change.content) << "\n";
    } else {
      out << "~ " << key;
      for (const auto cell : table_text::CellNames(change.key.kind)) {
        const std::string before = table_text::CellText(old_row->second, cell);
        const std::string after = table_text::CellText(*change.content, cell);
        if (before != after) out << " " << cell << ": '" << before << "' -> '" << after << "'";
      }
      out << "\n";
    }
  }
}

}  // namespace cornelweir::ctl
