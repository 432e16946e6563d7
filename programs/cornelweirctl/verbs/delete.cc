#include <algorithm>
#include <string>

#include "cornelweir/table_text.h"
#include "programs/cornelweirctl/change.h"
#include "programs/cornelweirctl/ctl_error.h"
#include "programs/cornelweirctl/fetch.h"
#include "programs/cornelweirctl/verb_registry.h"

namespace cornelweir::ctl {
namespace {

struct delete_verb {
  static constexpr std::string_view kName = "delete";
  static constexpr std::string_view kArguments = "KEY";
  static constexpr std::string_view kSummary = "delete a row of the draft";
  static constexpr std::size_t kLeastArguments = 1;
  static constexpr std::size_t kMostArguments = 1;
  static std::vector<std::string_view> Options() { return {"expect"}; }

  static boost::leaf::result<exit_code> Run(verb_context& context) {
    BOOST_LEAF_AUTO(key, table_text::ParseKey(context.arguments[0]));
    BOOST_LEAF_AUTO(draft, FetchDraft(context));
    const auto row = std::find_if(draft.rows.begin(), draft.rows.end(),
                                  [&](const draft_reply::row& each) { return each.key == key; });
    // A repeated command may find its own deletion done; the control host then knows its outcome.
    if (row == draft.rows.end() && !context.Has("expect") && !context.Has("change-id")) {
      return boost::leaf::new_error(
          ctl_error{exit_code::kRefused, "the draft has no row " + table::ToString(key) +
                                             "; 'cornelweirctl draft' lists its rows"});
    }
    const std::uint64_t current = row == draft.rows.end() ? 0 : row->row_version.value();
    const kernel::row_version expected(context.Option("expect", current));
    return SendEdits(context, {{key, expected, std::nullopt}});
  }
};

const verb_registration<delete_verb> kRegistered;

}  // namespace
}  // namespace cornelweir::ctl
