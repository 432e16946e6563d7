#include "cornelweir/src/table_text/csv_record.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace cornelweir::table_text::internal {
namespace {

// Reads one field after another from the text.
class csv_splitter {
 public:
  csv_splitter(std::string_view text, std::vector<text_fault>& faults)
      : text_(text), faults_(faults) {}

  std::vector<csv_record> Run() {
    while (at_ < text_.size()) {
      csv_record record;
      record.line = line_;
      do {
        record.fields.push_back(text_.substr(at_, 1) == "\"" ? Quoted() : Plain());
      } while (Skip(","));
      if (!Skip("\r\n") && !Skip("\n") && at_ < text_.size()) {
        faults_.push_back({line_, "", "text follows a closing quote"});
        at_ = std::min(text_.find('\n', at_), text_.size());
        Skip("\n");
      }
      ++line_;
      const bool blank = std::all_of(record.fields.begin(), record.fields.end(),
                                     [](const std::string& field) { return field.empty(); });
      if (!blank) records_.push_back(std::move(record));
    }
    return std::move(records_);
  }

 private:
  bool Skip(std::string_view expected) {
    if (text_.substr(at_, expected.size()) != expected) return false;
    at_ += expected.size();
    return true;
  }

  std::string Plain() {
    std::size_t end = std::min(text_.find_first_of(",\n", at_), text_.size());
    if (end > at_ && end < text_.size() && text_[end] == '\n' && text_[end - 1] == '\r') --end;
    std::string field(text_.substr(at_, end - at_));
    at_ = end;
    return field;
  }

  std::string Quoted() {
    const int first_line = line_;
    std::string field;
    ++at_;
    while (true) {
      const std::size_t quote = text_.find('"', at_);
      const std::string_view piece = text_.substr(at_, quote - at_);
      field += piece;
      line_ += static_cast<int>(std::count(piece.begin(), piece.end(), '\n'));
      at_ = quote == std::string_view::npos ? text_.size() : quote + 1;
      if (quote == std::string_view::npos) {
        faults_.push_back({first_line, "", "a quoted field is not closed"});
        return field;
      }
      if (!Skip("\"")) return field;
      field += '"';
    }
  }

  std::string_view text_;
  std::vector<text_fault>& faults_;
  std::vector<csv_record> records_;
  std::size_t at_ = 0;
  int line_ = 1;
};

}  // namespace

std::vector<csv_record> SplitCsv(std::string_view text, std::vector<text_fault>& faults) {
  // Spreadsheets put a byte order mark in front.
  if (text.starts_with("\xEF\xBB\xBF")) text.remove_prefix(3);
  return csv_splitter(text, faults).Run();
}

void AppendCsv(std::string& text, const std::vector<std::string>& fields) {
  for (std::size_t index = 0; index < fields.size(); ++index) {
    if (index > 0) text += ',';
    if (fields[index].find_first_of(",\"\r\n") == std::string::npos) {
      text += fields[index];
      continue;
    }
    text += '"';
    for (const char c : fields[index]) {
      if (c == '"') text += '"';
      text += c;
    }
    text += '"';
  }
  text += '\n';
}

}  // namespace cornelweir::table_text::internal
