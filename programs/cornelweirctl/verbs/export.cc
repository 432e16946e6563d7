#include <string>

#include "cornelweir/table_text.h"
#include "programs/cornelweirctl/ctl_error.h"
#include "programs/cornelweirctl/fetch.h"
#include "programs/cornelweirctl/report.h"
#include "programs/cornelweirctl/verb_registry.h"

namespace cornelweir::ctl {
namespace {

struct export_verb {
  static constexpr std::string_view kName = "export";
  static constexpr std::string_view kArguments = "";
  static constexpr std::string_view kSummary = "write a whole table as csv, json or text";
  static constexpr std::size_t kLeastArguments = 0;
  static constexpr std::size_t kMostArguments = 0;
  static std::vector<std::string_view> Options() { return {"format", "draft", "version"}; }

  static boost::leaf::result<exit_code> Run(verb_context& context) {
    table_reply reply;
    if (context.Has("draft")) {
      BOOST_LEAF_AUTO(draft, FetchDraft(context));
      reply.version = draft.base_version;
      for (const auto& row : draft.rows) reply.rows.push_back({row.key, row.content});
    } else {
      BOOST_LEAF_ASSIGN(reply, FetchTable(context));
    }
    const std::string format =
        context.Option<std::string>("format", context.json() ? "json" : "csv");
    if (format == "json") {
      PrintJson(context.out, codec::ToJson(reply));
    } else if (format == "csv") {
      context.out << table_text::WriteCsv(RowsOf(reply));
    } else if (format == "text") {
      context.out << table_text::WriteText(RowsOf(reply));
    } else {
      return boost::leaf::new_error(ctl_error{exit_code::kUsage, "--format is csv, json or text"});
    }
    return exit_code::kOk;
  }
};

const verb_registration<export_verb> kRegistered;

}  // namespace
}  // namespace cornelweir::ctl
