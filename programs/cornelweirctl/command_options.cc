#include "programs/cornelweirctl/command_options.h"

#include <boost/program_options/value_semantic.hpp>
#include <cstdint>

namespace cornelweir::ctl {

namespace options = boost::program_options;

options::options_description CommonOptions() {
  options::options_description description("Options of every verb");
  auto add = description.add_options();
  add("control", options::value<std::string>(),
      "admin endpoints of control hosts, separated by commas (default: $CORNELWEIR_CONTROL)");
  add("json", "print JSON");
  add("author", options::value<std::string>(), "author of the change (default: $USER)");
  add("change-id", options::value<std::string>(),
      "id of the change; give it to repeat a command whose outcome is unknown");
  add("certificate", options::value<std::string>(), "PEM certificate for TLS");
  add("key", options::value<std::string>(), "PEM private key for TLS");
  add("authority", options::value<std::string>(), "PEM certificates of the trusted authority");
  add("help", "print this text");
  return description;
}

options::options_description VerbOptions() {
  options::options_description description("Options of single verbs");
  auto add = description.add_options();
  add("note", options::value<std::string>(), "accept: why the version was made");
  add("expect", options::value<std::uint64_t>(),
      "set, delete: row version that the change is based on (default: the current one)");
  add("format", options::value<std::string>(), "import, export: csv, json or text (export only)");
  add("draft", "export: the draft instead of the accepted table");
  add("delete-absent", "import: delete the rows that the file does not have");
  add("version", options::value<std::uint64_t>(), "table, export: an earlier accepted version");
  add("timeout-ms", options::value<std::int64_t>(), "watch: how long to wait (default: 60000)");
  add("interval-ms", options::value<std::int64_t>(),
      "watch, top: time between two queries (default: 500, 1000)");
  add("against", options::value<std::string>(),
      "check: the document to compare with, or the admin endpoint of a control host");
  add("output", options::value<std::string>(), "check: text or json (default: text)");
  add("strict", "check: exit with 1 if there are warnings");
  add("count", options::value<std::int64_t>(), "top: number of displays (default: no end)");
  return description;
}

std::vector<std::string> OptionNames(const options::options_description& description) {
  std::vector<std::string> names;
  for (const auto& option : description.options()) names.push_back(option->long_name());
  return names;
}

}  // namespace cornelweir::ctl
