#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <string>
#include <vector>

#include "cornelweir/table_text.h"
#include "programs/cornelweirctl/change.h"
#include "programs/cornelweirctl/ctl_error.h"
#include "programs/cornelweirctl/fetch.h"
#include "programs/cornelweirctl/verb_registry.h"

namespace cornelweir::ctl {
namespace {

boost::leaf::error_id UsageError(std::string message) {
  return boost::leaf::new_error(ctl_error{exit_code::kUsage, std::move(message)});
}

boost::leaf::result<table::row_map> ReadRows(verb_context& context) {
  const std::string& path = context.arguments[0];
  std::ifstream file;
  if (path != "-") {
    file.open(path, std::ios::binary);
    if (!file) return UsageError("cannot read '" + path + "'");
  }
  std::istream& input = path == "-" ? std::cin : file;
  const std::string text((std::istreambuf_iterator<char>(input)), std::istreambuf_iterator<char>());
  const std::string by_name = path.ends_with(".json") ? "json" : "csv";
  const std::string format = context.Option("format", by_name);
  if (format == "csv") return table_text::ReadCsv(text);
  if (format != "json") return UsageError("--format for import is csv or json");
  const codec::json document = codec::json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (document.is_discarded()) return UsageError("'" + path + "' is not JSON");
  table_reply reply;
  return boost::leaf::try_handle_some(
      [&]() -> boost::leaf::result<table::row_map> {
        BOOST_LEAF_CHECK(codec::FromJson(document, reply, "table"));
        return RowsOf(reply);
      },
      [&](const codec::codec_error& error) -> boost::leaf::result<table::row_map> {
        return UsageError("'" + path + "' is wrong at " + error.place);
      });
}

// The edits that turn the draft into the rows; rows that only the draft has stay unless asked.
std::vector<edits_request::edit> EditsTo(const table::row_map& rows, const draft_reply& draft,
                                         bool delete_absent) {
  std::map<table::row_key, kernel::row_version> versions;
  for (const auto& row : draft.rows) versions[row.key] = row.row_version;
  std::vector<edits_request::edit> edits;
  for (const table::row_change& change : table::DeltaBetween(RowsOf(draft), rows)) {
    if (!change.content && !delete_absent) continue;
    edits.push_back({change.key, versions[change.key], change.content});
  }
  return edits;
}

struct import_verb {
  static constexpr std::string_view kName = "import";
  static constexpr std::string_view kArguments = "FILE";
  static constexpr std::string_view kSummary =
      "edit the draft so that it has the rows of a file (- for standard input)";
  static constexpr std::size_t kLeastArguments = 1;
  static constexpr std::size_t kMostArguments = 1;
  static std::vector<std::string_view> Options() { return {"format", "delete-absent"}; }

  static boost::leaf::result<exit_code> Run(verb_context& context) {
    BOOST_LEAF_AUTO(rows, ReadRows(context));
    BOOST_LEAF_AUTO(draft, FetchDraft(context));
    const std::vector<edits_request::edit> edits =
        EditsTo(rows, draft, context.Has("delete-absent"));
    if (edits.empty()) {
      if (!context.json()) context.out << "the draft has all rows of the file already\n";
      return exit_code::kOk;
    }
    return SendEdits(context, edits);
  }
};

const verb_registration<import_verb> kRegistered;

}  // namespace
}  // namespace cornelweir::ctl
