#include <string>

#include "cornelweir/table_text.h"
#include "programs/cornelweirctl/api/status_reply.h"
#include "programs/cornelweirctl/fetch.h"
#include "programs/cornelweirctl/report.h"
#include "programs/cornelweirctl/verb_registry.h"

namespace cornelweir::ctl {
namespace {

void PrintStorage(std::ostream& out, const status_reply::storage_status& storage) {
  out << "storage: " << storage.state;
  if (storage.outage_ms) out << " for " << *storage.outage_ms << " ms";
  if (storage.error) {
    out << ", " << storage.error->call << " of " << storage.error->file << " at offset "
        << storage.error->offset << " failed with errno " << storage.error->error_number;
  }
  if (storage.free_bytes) out << ", " << *storage.free_bytes << " bytes free";
  out << "\n";
}

void PrintLists(std::ostream& out, const status_reply& reply) {
  table_text::text_grid peers;
  peers.AddLine({"peer", "voter", "match index", "reachable"});
  for (const auto& peer : reply.peers) {
    peers.AddLine({peer.host.value(), peer.voter ? "yes" : "no",
                   std::to_string(peer.match_index.value()), peer.reachable ? "yes" : "no"});
  }
  if (!reply.peers.empty()) out << "\n" << peers.Text();
  table_text::text_grid proxies;
  proxies.AddLine({"proxy", "service", "version", "revision", "ready"});
  for (const auto& proxy : reply.proxies) {
    proxies.AddLine({proxy.host.value(), proxy.service.value(),
                     std::to_string(proxy.version.value()), std::to_string(proxy.revision.value()),
                     proxy.ready ? "yes" : "no"});
  }
  if (!reply.proxies.empty()) out << "\n" << proxies.Text();
  table_text::text_grid upstreams;
  upstreams.AddLine({"upstream", "service", "subset", "failure domain", "state", "endpoint"});
  for (const auto& upstream : reply.upstreams) {
    upstreams.AddLine({upstream.id.value(), upstream.service.value(), upstream.subset.value(),
                       upstream.domain.value(), upstream.state, upstream.endpoint.value()});
  }
  if (!reply.upstreams.empty()) out << "\n" << upstreams.Text();
  if (!reply.quarantined.empty()) {
    out << "\n"
        << reply.quarantined.size()
        << " requests are quarantined; see 'cornelweirctl quarantine list'\n";
  }
}

struct status_verb {
  static constexpr std::string_view kName = "status";
  static constexpr std::string_view kArguments = "";
  static constexpr std::string_view kSummary =
      "print what a control host knows about the group and the fleet";
  static constexpr std::size_t kLeastArguments = 0;
  static constexpr std::size_t kMostArguments = 0;
  static std::vector<std::string_view> Options() { return {}; }

  static boost::leaf::result<exit_code> Run(verb_context& context) {
    BOOST_LEAF_AUTO(reply, Fetch<status_reply>(context, "/v1/status"));
    if (context.json()) {
      PrintJson(context.out, codec::ToJson(reply));
      return exit_code::kOk;
    }
    context.out << "control host " << reply.host.value() << " (" << reply.role << "), leader "
                << (reply.leader.value().empty() ? "unknown" : reply.leader.value()) << ", term "
                << reply.term.value() << "\n"
                << "log: committed " << reply.commit_index.value() << ", applied "
                << reply.applied_index.value() << "\n"
                << "table version " << reply.version.value() << ", membership revision "
                << reply.revision.value() << ", " << reply.subscribers << " subscribers\n";
    if (reply.storage) PrintStorage(context.out, *reply.storage);
    PrintLists(context.out, reply);
    return exit_code::kOk;
  }
};

const verb_registration<status_verb> kRegistered;

}  // namespace
}  // namespace cornelweir::ctl
