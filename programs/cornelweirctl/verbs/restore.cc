#include <string>

#include "programs/cornelweirctl/change.h"
#include "programs/cornelweirctl/number.h"
#include "programs/cornelweirctl/verb_registry.h"

namespace cornelweir::ctl {
namespace {

struct restore_verb {
  static constexpr std::string_view kName = "restore";
  static constexpr std::string_view kArguments = "VERSION";
  static constexpr std::string_view kSummary =
      "accept the contents of an earlier version under a new number";
  static constexpr std::size_t kLeastArguments = 1;
  static constexpr std::size_t kMostArguments = 1;
  static std::vector<std::string_view> Options() { return {}; }

  static boost::leaf::result<exit_code> Run(verb_context& context) {
    BOOST_LEAF_AUTO(version, ParseNumber(context.arguments[0], "a version"));
    return SendVersionChange(context, "/v1/restore", {{"version", version}});
  }
};

const verb_registration<restore_verb> kRegistered;

}  // namespace
}  // namespace cornelweir::ctl
