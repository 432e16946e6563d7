#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cornelweir/policy.h"
#include "cornelweir/src/codec/sha256.h"
#include "platform/policy_format.h"
#include "programs/cornelweirctl/ctl_error.h"
#include "programs/cornelweirctl/printable.h"
#include "programs/cornelweirctl/report.h"
#include "programs/cornelweirctl/verb_registry.h"
#include "programs/cornelweirctl/verbs/check_input.h"

namespace cornelweir::ctl {
namespace {

using policy::change_kind;
using policy::finding;
using policy::policy_change;

// This verb's meaning of the exit codes.
constexpr exit_code kWarnings = exit_code::kRefused;
constexpr exit_code kErrors = exit_code::kUsage;

// What the verb found out about a document.
struct check_report {
  kernel::policy_version version;
  std::vector<finding> errors;
  std::vector<finding> warnings;
  // Empty unless the document is compared with another version.
  std::optional<kernel::policy_version> against;
  std::vector<policy_change> changes;
};

void Append(std::vector<finding> added, std::vector<finding>& warnings) {
  for (finding& warning : added) {
    if (warnings.size() >= policy::kMaxFindings) break;
    warnings.push_back(std::move(warning));
  }
}

boost::leaf::result<check_report> Check(verb_context& context) {
  std::optional<comparison_base> base;
  if (context.Has("against")) {
    BOOST_LEAF_AUTO(read, ReadBase(context, context.Option<std::string>("against", "")));
    base = std::move(read);
  }
  BOOST_LEAF_AUTO(text, ReadDocument(context.arguments[0]));
  platform::policy_document document = platform::ReadPolicy(text);
  check_report report;
  report.version = document.table.version;
  report.errors = std::move(document.errors);
  // The table of a malformed document is incomplete, so further findings could be wrong.
  if (!report.errors.empty()) return report;
  report.errors = policy::FindErrors(document.table);
  report.warnings = std::move(document.warnings);
  Append(policy::FindWarnings(document.table), report.warnings);
  if (!base) return report;
  Append(policy::FindDeploymentWarnings(document.table, base->services), report.warnings);
  report.against = base->table.version;
  if (base->has_key_digests) policy::ReplaceKeys(document.table, codec::Sha256Hex);
  report.changes = policy::Compare(base->table, document.table);
  return report;
}

std::string_view KindName(change_kind kind) {
  switch (kind) {
    case change_kind::kAdded:
      return "added";
    case change_kind::kRemoved:
      return "removed";
    case change_kind::kChanged:
      return "changed";
  }
  return "unknown";
}

void PrintReport(std::ostream& out, const check_report& report) {
  for (const finding& error : report.errors) {
    out << "error: " << Printable(error.place) << ": " << Printable(error.message) << '\n';
  }
  for (const finding& warning : report.warnings) {
    out << "warning: " << Printable(warning.place) << ": " << Printable(warning.message) << '\n';
  }
  if (report.against) {
    out << "changes from version " << platform::FormatVersion(*report.against) << " to "
        << platform::FormatVersion(report.version) << ": " << report.changes.size() << '\n';
  }
  for (const policy_change& change : report.changes) {
    if (change.kind != change_kind::kChanged) {
      out << (change.kind == change_kind::kAdded ? "+ " : "- ") << Printable(change.place) << '\n';
      continue;
    }
    out << "~ " << Printable(change.place) << ": " << change.member << ": "
        << Printable(change.from) << " -> " << Printable(change.to) << '\n';
  }
  const auto count = [&](const std::vector<finding>& findings, std::string_view name) {
    out << findings.size() << ' ' << name << (findings.size() == 1 ? "" : "s");
    if (findings.size() == policy::kMaxFindings) out << " or more";
  };
  count(report.errors, "error");
  out << ", ";
  count(report.warnings, "warning");
  out << '\n';
}

codec::json ToDocument(const check_report& report) {
  codec::json document{{"version", platform::FormatVersion(report.version)},
                       {"errors", codec::ToJson(report.errors)},
                       {"warnings", codec::ToJson(report.warnings)}};
  if (!report.against) return document;
  document["against"] = platform::FormatVersion(*report.against);
  document["changes"] = codec::json::array();
  for (const policy_change& change : report.changes) {
    codec::json entry{{"kind", std::string(KindName(change.kind))}, {"place", change.place}};
    if (change.kind == change_kind::kChanged) {
      entry["member"] = change.member;
      entry["from"] = change.from;
      entry["to"] = change.to;
    }
    document["changes"].push_back(std::move(entry));
  }
  return document;
}

struct check_verb {
  static constexpr std::string_view kName = "check";
  static constexpr std::string_view kArguments = "FILE";
  static constexpr std::string_view kSummary = "check a policy document before it is sent";
  static constexpr std::size_t kLeastArguments = 1;
  static constexpr std::size_t kMostArguments = 1;
  static std::vector<std::string_view> Options() { return {"against", "output", "strict"}; }

  static boost::leaf::result<exit_code> Run(verb_context& context) {
    const auto output = context.Option<std::string>("output", context.json() ? "json" : "text");
    if (output != "json" && output != "text") {
      return boost::leaf::new_error(ctl_error{exit_code::kUsage, "--output is json or text"});
    }
    BOOST_LEAF_AUTO(report, Check(context));
    if (output == "json") {
      PrintJson(context.out, ToDocument(report));
    } else {
      PrintReport(context.out, report);
    }
    if (!report.errors.empty()) return kErrors;
    return context.Has("strict") && !report.warnings.empty() ? kWarnings : exit_code::kOk;
  }
};

const verb_registration<check_verb> kRegistered;

}  // namespace
}  // namespace cornelweir::ctl
