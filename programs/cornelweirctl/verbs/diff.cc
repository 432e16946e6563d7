#include "programs/cornelweirctl/fetch.h"
#include "programs/cornelweirctl/report.h"
#include "programs/cornelweirctl/verb_registry.h"

namespace cornelweir::ctl {
namespace {

struct diff_verb {
  static constexpr std::string_view kName = "diff";
  static constexpr std::string_view kArguments = "";
  static constexpr std::string_view kSummary = "print what accepting the draft would change";
  static constexpr std::size_t kLeastArguments = 0;
  static constexpr std::size_t kMostArguments = 0;
  static std::vector<std::string_view> Options() { return {}; }

  static boost::leaf::result<exit_code> Run(verb_context& context) {
    BOOST_LEAF_AUTO(accepted, FetchTable(context));
    BOOST_LEAF_AUTO(draft, FetchDraft(context));
    if (context.json()) {
      PrintJson(context.out, codec::ToJson(table::DeltaBetween(RowsOf(accepted), RowsOf(draft))));
    } else {
      PrintDifference(context.out, RowsOf(accepted), RowsOf(draft));
    }
    return exit_code::kOk;
  }
};

const verb_registration<diff_verb> kRegistered;

}  // namespace
}  // namespace cornelweir::ctl
