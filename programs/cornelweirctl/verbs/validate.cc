#include "programs/cornelweirctl/fetch.h"
#include "programs/cornelweirctl/report.h"
#include "programs/cornelweirctl/verb_registry.h"

namespace cornelweir::ctl {
namespace {

struct validate_verb {
  static constexpr std::string_view kName = "validate";
  static constexpr std::string_view kArguments = "";
  static constexpr std::string_view kSummary = "list every fault of the draft";
  static constexpr std::size_t kLeastArguments = 0;
  static constexpr std::size_t kMostArguments = 0;
  static std::vector<std::string_view> Options() { return {}; }

  static boost::leaf::result<exit_code> Run(verb_context& context) {
    BOOST_LEAF_AUTO(draft, FetchDraft(context));
    if (context.json()) {
      PrintJson(context.out, codec::ToJson(draft.faults));
    } else if (draft.faults.empty()) {
      context.out << "the draft can be accepted\n";
    } else {
      PrintFaults(context.out, draft.faults);
    }
    return draft.faults.empty() ? exit_code::kOk : exit_code::kRefused;
  }
};

const verb_registration<validate_verb> kRegistered;

}  // namespace
}  // namespace cornelweir::ctl
