#include <string>
#include <vector>

#include "cornelweir/table_text.h"
#include "programs/cornelweirctl/fetch.h"
#include "programs/cornelweirctl/report.h"
#include "programs/cornelweirctl/verb_registry.h"

namespace cornelweir::ctl {
namespace {

struct draft_verb {
  static constexpr std::string_view kName = "draft";
  static constexpr std::string_view kArguments = "";
  static constexpr std::string_view kSummary = "print the draft with its row versions and faults";
  static constexpr std::size_t kLeastArguments = 0;
  static constexpr std::size_t kMostArguments = 0;
  static std::vector<std::string_view> Options() { return {}; }

  static boost::leaf::result<exit_code> Run(verb_context& context) {
    BOOST_LEAF_AUTO(reply, FetchDraft(context));
    if (context.json()) {
      PrintJson(context.out, codec::ToJson(reply));
      return exit_code::kOk;
    }
    context.out << "draft based on version " << reply.base_version.value() << "\n\n";
    table_text::text_grid grid;
    grid.AddLine({"key", "row version", "cells"});
    for (const auto& row : reply.rows) {
      std::vector<std::string> line{table::ToString(row.key),
                                    std::to_string(row.row_version.value())};
      for (const auto cell : table_text::CellNames(row.key.kind)) {
        line.push_back(std::string(cell) + "='" + table_text::CellText(row.content, cell) + "'");
      }
      grid.AddLine(std::move(line));
    }
    context.out << grid.Text();
    if (!reply.faults.empty()) context.out << "\nFaults:\n";
    PrintFaults(context.out, reply.faults);
    return exit_code::kOk;
  }
};

const verb_registration<draft_verb> kRegistered;

}  // namespace
}  // namespace cornelweir::ctl
