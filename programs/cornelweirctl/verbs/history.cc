#include <string>

#include "cornelweir/table_text.h"
#include "programs/cornelweirctl/api/history_reply.h"
#include "programs/cornelweirctl/fetch.h"
#include "programs/cornelweirctl/report.h"
#include "programs/cornelweirctl/utc_time.h"
#include "programs/cornelweirctl/verb_registry.h"

namespace cornelweir::ctl {
namespace {

struct history_verb {
  static constexpr std::string_view kName = "history";
  static constexpr std::string_view kArguments = "";
  static constexpr std::string_view kSummary = "list the accepted versions";
  static constexpr std::size_t kLeastArguments = 0;
  static constexpr std::size_t kMostArguments = 0;
  static std::vector<std::string_view> Options() { return {}; }

  static boost::leaf::result<exit_code> Run(verb_context& context) {
    BOOST_LEAF_AUTO(reply, Fetch<history_reply>(context, "/v1/history"));
    if (context.json()) {
      PrintJson(context.out, codec::ToJson(reply));
      return exit_code::kOk;
    }
    table_text::text_grid grid;
    grid.AddLine({"version", "accepted (UTC)", "author", "changed rows", "note"});
    for (const auto& version : reply.versions) {
      grid.AddLine({std::to_string(version.version.value()), UtcTime(version.accepted_at_ms),
                    version.author, std::to_string(version.changed_rows), version.note});
    }
    context.out << grid.Text();
    return exit_code::kOk;
  }
};

const verb_registration<history_verb> kRegistered;

}  // namespace
}  // namespace cornelweir::ctl
