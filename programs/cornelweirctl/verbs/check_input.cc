#include "programs/cornelweirctl/verbs/check_input.h"

#include <array>
#include <cstddef>
#include <fstream>
#include <iostream>
#include <utility>

#include "cornelweir/settings.h"
#include "platform/policy_format.h"
#include "programs/cornelweirctl/api/services_reply.h"
#include "programs/cornelweirctl/ctl_error.h"
#include "programs/cornelweirctl/printable.h"

namespace cornelweir::ctl {
namespace {

boost::leaf::error_id Unreadable(const std::string& path, const std::string& reason) {
  return boost::leaf::new_error(ctl_error{
      exit_code::kUnavailable, "cannot read '" + Printable(path) + "': " + Printable(reason)});
}

template <class Reply>
boost::leaf::result<Reply> FetchFrom(verb_context& context, const std::string& host,
                                     const std::string& target) {
  const auto fetch = [&]() -> boost::leaf::result<api_reply> {
    return context.client.GetFrom(kernel::endpoint(host), target);
  };
  const auto explain = [&](const ctl_error& error) -> boost::leaf::result<api_reply> {
    return Unreadable(host + target, error.message);
  };
  BOOST_LEAF_AUTO(answer, boost::leaf::try_handle_some(fetch, explain));
  if (answer.status != 200) {
    return Unreadable(host + target, "HTTP status " + std::to_string(answer.status));
  }
  Reply reply;
  BOOST_LEAF_CHECK(codec::FromJson(answer.body, reply, target));
  return reply;
}

boost::leaf::result<comparison_base> ReadFromHost(verb_context& context, const std::string& host) {
  comparison_base base;
  base.has_key_digests = true;
  BOOST_LEAF_ASSIGN(base.table, FetchFrom<policy::policy_table>(context, host, "/v1/policy"));
  BOOST_LEAF_AUTO(known, FetchFrom<services_reply>(context, host, "/v1/services"));
  base.services = std::move(known.services);
  return base;
}

}  // namespace

boost::leaf::result<std::string> ReadDocument(const std::string& path) {
  std::ifstream file;
  if (path != "-") file.open(path, std::ios::binary);
  std::istream& input = path == "-" ? std::cin : file;
  if (!input) return Unreadable(path, "it can't be opened");
  std::string text;
  std::array<char, std::size_t{64} << 10> part{};
  while (text.size() <= platform::kMaxPolicyBytes && input) {
    input.read(part.data(), part.size());
    text.append(part.data(), static_cast<std::size_t>(input.gcount()));
  }
  if (input.bad()) return Unreadable(path, "the read failed");
  if (text.size() > platform::kMaxPolicyBytes) return Unreadable(path, "it is above 16 MiB");
  if (text.empty()) return Unreadable(path, "it is empty");
  return text;
}

boost::leaf::result<comparison_base> ReadBase(verb_context& context, const std::string& against) {
  if (settings::ParseEndpoint(against)) return ReadFromHost(context, against);
  BOOST_LEAF_AUTO(text, ReadDocument(against));
  platform::policy_document document = platform::ReadPolicy(text);
  if (!document.errors.empty()) {
    const policy::finding& first = document.errors.front();
    return Unreadable(against, first.place + " " + first.message);
  }
  comparison_base base;
  base.table = std::move(document.table);
  return base;
}

}  // namespace cornelweir::ctl
