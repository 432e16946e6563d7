#include <string>

#include "programs/cornelweirctl/change.h"
#include "programs/cornelweirctl/verb_registry.h"

namespace cornelweir::ctl {
namespace {

struct accept_verb {
  static constexpr std::string_view kName = "accept";
  static constexpr std::string_view kArguments = "";
  static constexpr std::string_view kSummary = "make the draft the next version";
  static constexpr std::size_t kLeastArguments = 0;
  static constexpr std::size_t kMostArguments = 0;
  static std::vector<std::string_view> Options() { return {"note"}; }

  static boost::leaf::result<exit_code> Run(verb_context& context) {
    return SendVersionChange(context, "/v1/accept",
                             {{"note", context.Option<std::string>("note", "")}});
  }
};

const verb_registration<accept_verb> kRegistered;

}  // namespace
}  // namespace cornelweir::ctl
