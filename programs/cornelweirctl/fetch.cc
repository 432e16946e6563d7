#include "programs/cornelweirctl/fetch.h"

#include <cstdint>

namespace cornelweir::ctl {

boost::leaf::error_id Refused(const api_reply& reply, const std::string& target) {
  std::string message = target + " was refused with HTTP status " + std::to_string(reply.status);
  const auto reason = reply.body.find("reason");
  if (reason != reply.body.end() && reason->is_string()) {
    message += ": " + reason->get<std::string>();
  }
  if (reply.status == 404) message += "; 'cornelweirctl history' lists the versions that are kept";
  return boost::leaf::new_error(ctl_error{exit_code::kRefused, message});
}

boost::leaf::result<table_reply> FetchTable(verb_context& context) {
  if (!context.Has("version")) return Fetch<table_reply>(context, "/v1/table");
  const auto version = context.options["version"].as<std::uint64_t>();
  return Fetch<table_reply>(context, "/v1/versions/" + std::to_string(version));
}

boost::leaf::result<draft_reply> FetchDraft(verb_context& context) {
  return Fetch<draft_reply>(context, "/v1/draft");
}

}  // namespace cornelweir::ctl
