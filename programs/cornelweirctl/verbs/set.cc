#include <algorithm>
#include <string>

#include "cornelweir/table_text.h"
#include "programs/cornelweirctl/change.h"
#include "programs/cornelweirctl/ctl_error.h"
#include "programs/cornelweirctl/fetch.h"
#include "programs/cornelweirctl/verb_registry.h"

namespace cornelweir::ctl {
namespace {

boost::leaf::result<void> SetAssigned(table::row_content& content, const std::string& assignment) {
  const std::size_t equals = assignment.find('=');
  if (equals == std::string::npos) {
    return boost::leaf::new_error(
        ctl_error{exit_code::kUsage, "'" + assignment + "' does not have the form CELL=VALUE"});
  }
  return table_text::SetCell(content, assignment.substr(0, equals), assignment.substr(equals + 1));
}

struct set_verb {
  static constexpr std::string_view kName = "set";
  static constexpr std::string_view kArguments = "KEY CELL=VALUE...";
  static constexpr std::string_view kSummary = "create a row of the draft or change cells of it";
  static constexpr std::size_t kLeastArguments = 2;
  static constexpr std::size_t kMostArguments = kAnyNumber;
  static std::vector<std::string_view> Options() { return {"expect"}; }

  static boost::leaf::result<exit_code> Run(verb_context& context) {
    BOOST_LEAF_AUTO(key, table_text::ParseKey(context.arguments[0]));
    BOOST_LEAF_AUTO(draft, FetchDraft(context));
    const auto row = std::find_if(draft.rows.begin(), draft.rows.end(),
                                  [&](const draft_reply::row& each) { return each.key == key; });
    const bool exists = row != draft.rows.end();
    table::row_content content = exists ? row->content : table_text::EmptyRow(key.kind);
    for (std::size_t index = 1; index < context.arguments.size(); ++index) {
      BOOST_LEAF_CHECK(SetAssigned(content, context.arguments[index]));
    }
    const std::uint64_t current = exists ? row->row_version.value() : 0;
    const kernel::row_version expected(context.Option("expect", current));
    return SendEdits(context, {{key, expected, std::move(content)}});
  }
};

const verb_registration<set_verb> kRegistered;

}  // namespace
}  // namespace cornelweir::ctl
