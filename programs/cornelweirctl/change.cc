#include "programs/cornelweirctl/change.h"

#include <optional>
#include <utility>

#include "cornelweir/codec.h"
#include "programs/cornelweirctl/api/edits_reply.h"
#include "programs/cornelweirctl/api/version_reply.h"
#include "programs/cornelweirctl/ctl_error.h"
#include "programs/cornelweirctl/fetch.h"
#include "programs/cornelweirctl/report.h"

namespace cornelweir::ctl {
namespace internal {
namespace {

bool IsOutcome(const api_reply& answer) {
  return answer.status == 200 || answer.status == 409 || answer.status == 422;
}

}  // namespace
}  // namespace internal

boost::leaf::result<api_reply> SendChange(verb_context& context, const std::string& target,
                                          codec::json body) {
  body["change_id"] = context.change_id.value();
  api_reply reply;
  const auto failure = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<ctl_error>> {
        BOOST_LEAF_ASSIGN(reply, context.client.Post(target, body));
        return std::optional<ctl_error>();
      },
      [](const ctl_error& error) { return std::optional(error); },
      [] {
        return std::optional(ctl_error{exit_code::kUnavailable, "unknown failure"});
      });
  if (!failure) return reply;
  if (failure->code != exit_code::kUnavailable) return boost::leaf::new_error(*failure);
  return boost::leaf::new_error(
      ctl_error{failure->code, failure->message +
                                   "\nThe change may have been made or not. To learn its outcome "
                                   "without making it twice, repeat the command with --change-id " +
                                   context.change_id.value()});
}

boost::leaf::result<exit_code> SendEdits(verb_context& context,
                                         std::vector<edits_request::edit> edits) {
  const edits_request request{context.change_id, context.author, std::move(edits)};
  BOOST_LEAF_AUTO(answer, SendChange(context, "/v1/edits", codec::ToJson(request)));
  if (!internal::IsOutcome(answer)) return Refused(answer, "/v1/edits");
  edits_reply reply;
  BOOST_LEAF_CHECK(codec::FromJson(answer.body, reply, "/v1/edits"));
  const exit_code code = answer.status == 200 ? exit_code::kOk : exit_code::kRefused;
  if (context.json()) {
    PrintJson(context.out, answer.body);
    return code;
  }
  for (const auto& row : reply.row_versions) {
    context.out << "edited " << table::ToString(row.key) << ", row version "
                << row.row_version.value() << "\n";
  }
  if (answer.status == 409) PrintConflicts(context.out, reply.conflicts);
  if (answer.status == 422) {
    PrintFaults(context.out, reply.faults);
    context.out << "Nothing was changed. Correct the cells above and repeat the command.\n";
  }
  return code;
}

boost::leaf::result<exit_code> SendVersionChange(verb_context& context, const std::string& target,
                                                 codec::json body) {
  body["author"] = context.author;
  BOOST_LEAF_AUTO(answer, SendChange(context, target, std::move(body)));
  if (!internal::IsOutcome(answer)) return Refused(answer, target);
  version_reply reply;
  BOOST_LEAF_CHECK(codec::FromJson(answer.body, reply, target));
  const exit_code code = answer.status == 200 ? exit_code::kOk : exit_code::kRefused;
  if (context.json()) {
    PrintJson(context.out, answer.body);
  } else if (code == exit_code::kOk) {
    context.out << "accepted version " << reply.version.value()
                << "; 'cornelweirctl watch' shows when every proxy enforces it\n";
  } else {
    PrintFaults(context.out, reply.faults);
    context.out << "No version was accepted. Correct the cells above with 'cornelweirctl set' and "
                   "repeat the command.\n";
  }
  return code;
}

}  // namespace cornelweir::ctl
