#include "cornelweir/src/table_text/csv.h"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

#include "cornelweir/src/table_text/cell.h"
#include "cornelweir/src/table_text/csv_record.h"
#include "cornelweir/src/table_text/table_text_error.h"

namespace cornelweir::table_text {
namespace internal {
namespace {

// Turns records into rows under the latest header.
class csv_reader {
 public:
  explicit csv_reader(std::string_view text) : records_(SplitCsv(text, faults_)) {}

  boost::leaf::result<table::row_map> Run() {
    for (const csv_record& record : records_) {
      if (record.fields[0] == "kind") {
        ReadHeader(record);
      } else {
        ReadRow(record);
      }
    }
    std::stable_sort(
        faults_.begin(), faults_.end(),
        [](const text_fault& left, const text_fault& right) { return left.line < right.line; });
    if (!faults_.empty()) return boost::leaf::new_error(table_text_error{std::move(faults_)});
    return std::move(rows_);
  }

 private:
  void Fault(const csv_record& record, std::string cell, std::string reason) {
    faults_.push_back({record.line, std::move(cell), std::move(reason)});
  }

  void ReadHeader(const csv_record& record) {
    columns_ = record.fields;
    // Spreadsheets pad every line to the longest one.
    while (columns_.back().empty()) columns_.pop_back();
    if (columns_.size() < 2 || columns_[1] != "name") {
      Fault(record, "", "a header line starts with kind,name");
    }
    for (std::size_t index = 0; index < columns_.size(); ++index) {
      if (std::count(columns_.begin(), columns_.end(), columns_[index]) == 1) continue;
      Fault(record, columns_[index], "the column occurs twice");
    }
  }

  void ReadRow(const csv_record& record) {
    table::row_key key;
    if (!table::ParseRowKind(record.fields[0], key.kind)) {
      Fault(record, "kind", "'" + record.fields[0] + "' is not a kind of row");
      return;
    }
    if (columns_.empty()) {
      Fault(record, "", "the row has no header line kind,name,... above it");
      return;
    }
    if (record.fields.size() > 1) key.name = record.fields[1];
    if (key.name.empty()) Fault(record, "name", "is empty");
    table::row_content content = EmptyRow(key.kind);
    for (const std::string_view cell : CellNames(key.kind)) {
      if (std::find(columns_.begin(), columns_.end(), cell) == columns_.end()) {
        Fault(record, std::string(cell), "the header line above has no such column");
      }
    }
    for (std::size_t index = 2; index < std::max(columns_.size(), record.fields.size()); ++index) {
      const std::string text = index < record.fields.size() ? record.fields[index] : "";
      if (index < columns_.size()) {
        ReadCell(record, content, columns_[index], text);
      } else if (!text.empty()) {
        Fault(record, "", "'" + text + "' has no column in the header line above");
      }
    }
    if (!rows_.emplace(key, std::move(content)).second) {
      Fault(record, "", "row " + table::ToString(key) + " occurs twice");
    }
  }

  void ReadCell(const csv_record& record, table::row_content& content, const std::string& cell,
                const std::string& text) {
    const auto refused = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<text_fault>> {
          BOOST_LEAF_CHECK(SetCell(content, cell, text));
          return std::optional<text_fault>();
        },
        [](const table_text_error& error) { return std::optional(error.faults.front()); },
        [] {
          return std::optional(text_fault{0, "", "cannot be read"});
        });
    if (refused) Fault(record, refused->cell, refused->reason);
  }

  std::vector<text_fault> faults_;
  std::vector<csv_record> records_;
  std::vector<std::string> columns_;
  table::row_map rows_;
};

}  // namespace
}  // namespace internal

std::string WriteCsv(const table::row_map& rows) {
  std::string text;
  std::optional<table::row_kind> section;
  for (const auto& [key, content] : rows) {
    const std::vector<std::string_view> cells = CellNames(key.kind);
    if (section != key.kind) {
      if (section) text += '\n';
      section = key.kind;
      std::vector<std::string> header{"kind", "name"};
      header.insert(header.end(), cells.begin(), cells.end());
      internal::AppendCsv(text, header);
    }
    std::vector<std::string> fields{std::string(table::RowKindName(key.kind)), key.name};
    for (const std::string_view cell : cells) fields.push_back(CellText(content, cell));
    internal::AppendCsv(text, fields);
  }
  return text;
}

boost::leaf::result<table::row_map> ReadCsv(std::string_view text) {
  return internal::csv_reader(text).Run();
}

}  // namespace cornelweir::table_text
