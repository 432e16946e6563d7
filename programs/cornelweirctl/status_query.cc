#include "programs/cornelweirctl/status_query.h"

#include <boost/leaf.hpp>
#include <utility>

#include "cornelweir/codec.h"
#include "programs/cornelweirctl/ctl_error.h"

namespace cornelweir::ctl {

std::vector<host_report> AskAllHosts(verb_context& context) {
  std::vector<host_report> reports;
  for (const kernel::endpoint& host : context.client.control_hosts()) {
    host_report report{host, "", {}};
    report.failure = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::string> {
          BOOST_LEAF_AUTO(answer, context.client.GetFrom(host, "/v1/status"));
          if (answer.status != 200) return "HTTP status " + std::to_string(answer.status);
          BOOST_LEAF_CHECK(codec::FromJson(answer.body, report.status, "/v1/status"));
          return std::string();
        },
        [](const ctl_error& error) { return error.message; },
        [](const codec::codec_error& error) { return "the answer is wrong at " + error.place; },
        [] { return std::string("unknown failure"); });
    reports.push_back(std::move(report));
  }
  return reports;
}

}  // namespace cornelweir::ctl
