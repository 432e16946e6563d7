#include <string>

#include "cornelweir/table_text.h"
#include "programs/cornelweirctl/api/status_reply.h"
#include "programs/cornelweirctl/change.h"
#include "programs/cornelweirctl/ctl_error.h"
#include "programs/cornelweirctl/fetch.h"
#include "programs/cornelweirctl/number.h"
#include "programs/cornelweirctl/report.h"
#include "programs/cornelweirctl/verb_registry.h"

namespace cornelweir::ctl {
namespace {

boost::leaf::result<exit_code> List(verb_context& context) {
  BOOST_LEAF_AUTO(reply, Fetch<status_reply>(context, "/v1/status"));
  if (context.json()) {
    PrintJson(context.out, codec::ToJson(reply.quarantined));
    return exit_code::kOk;
  }
  table_text::text_grid grid;
  grid.AddLine({"fingerprint", "expires in (s)", "service"});
  for (const auto& request : reply.quarantined) {
    grid.AddLine({std::to_string(request.fingerprint.value()),
                  std::to_string(request.expires_in_ms / 1000), request.service.value()});
  }
  context.out << grid.Text();
  return exit_code::kOk;
}

boost::leaf::result<exit_code> Release(verb_context& context) {
  BOOST_LEAF_AUTO(fingerprint, ParseNumber(context.arguments[1], "a fingerprint"));
  BOOST_LEAF_AUTO(answer,
                  SendChange(context, "/v1/quarantine/release", {{"fingerprint", fingerprint}}));
  if (answer.status != 200) return Refused(answer, "/v1/quarantine/release");
  if (context.json()) {
    PrintJson(context.out, answer.body);
  } else {
    context.out << "released " << fingerprint << "; it may run again\n";
  }
  return exit_code::kOk;
}

struct quarantine_verb {
  static constexpr std::string_view kName = "quarantine";
  static constexpr std::string_view kArguments = "list | release FINGERPRINT";
  static constexpr std::string_view kSummary = "list quarantined requests, or let one run again";
  static constexpr std::size_t kLeastArguments = 1;
  static constexpr std::size_t kMostArguments = 2;
  static std::vector<std::string_view> Options() { return {}; }

  static boost::leaf::result<exit_code> Run(verb_context& context) {
    const std::string& action = context.arguments[0];
    if (action == "list" && context.arguments.size() == 1) return List(context);
    if (action == "release" && context.arguments.size() == 2) return Release(context);
    return boost::leaf::new_error(
        ctl_error{exit_code::kUsage, "usage: cornelweirctl quarantine list | release FINGERPRINT"});
  }
};

const verb_registration<quarantine_verb> kRegistered;

}  // namespace
}  // namespace cornelweir::ctl
