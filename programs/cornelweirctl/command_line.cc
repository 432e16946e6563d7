#include "programs/cornelweirctl/command_line.h"

#include <algorithm>
#include <boost/leaf.hpp>
#include <boost/program_options/parsers.hpp>
#include <boost/program_options/positional_options.hpp>
#include <boost/program_options/variables_map.hpp>
#include <iomanip>
#include <optional>
#include <sstream>
#include <utility>

#include "cornelweir/codec.h"
#include "cornelweir/settings.h"
#include "cornelweir/table_text.h"
#include "programs/cornelweirctl/api_client.h"
#include "programs/cornelweirctl/command_options.h"
#include "programs/cornelweirctl/ctl_error.h"
#include "programs/cornelweirctl/verb_registry.h"

namespace cornelweir::ctl {
namespace internal {
namespace {

namespace options = boost::program_options;

boost::leaf::error_id UsageError(std::string message) {
  return boost::leaf::new_error(ctl_error{exit_code::kUsage, std::move(message)});
}

std::string HelpText() {
  std::ostringstream text;
  text << "usage: cornelweirctl VERB [ARGUMENT...] [OPTION...]\n\nVerbs:\n";
  table_text::text_grid grid;
  for (const auto& verb : verb_registry::Instance().entries()) {
    std::string call = "  " + std::string(verb.name);
    if (!verb.arguments.empty()) call += " " + std::string(verb.arguments);
    grid.AddLine({std::move(call), std::string(verb.summary)});
  }
  text << grid.Text() << "\n" << CommonOptions() << "\n" << VerbOptions() << "\n";
  text << "Exit codes: 0 done; 1 refused or conflict; 2 wrong usage; 3 no control host answered\n";
  return text.str();
}

// The words of a command, checked against the verb that they name.
struct parsed_command {
  const verb_registry::entry* verb = nullptr;
  std::vector<std::string> arguments;
  options::variables_map options;
};

boost::leaf::result<options::variables_map> ParseOptions(const std::vector<std::string>& words) {
  options::options_description all = CommonOptions();
  all.add(VerbOptions());
  all.add_options()("words", options::value<std::vector<std::string>>());
  options::positional_options_description positional;
  positional.add("words", -1);
  namespace style = options::command_line_style;
  options::variables_map map;
  try {
    // Abbreviated options would change their meaning when an option is added.
    options::store(options::command_line_parser(words)
                       .options(all)
                       .positional(positional)
                       .style(style::unix_style & ~style::allow_guessing)
                       .run(),
                   map);
    options::notify(map);
  } catch (const options::error& error) {
    return UsageError(std::string(error.what()) + "; see cornelweirctl --help");
  }
  return map;
}

boost::leaf::result<void> CheckOptions(const parsed_command& command) {
  const std::vector<std::string_view>& taken = command.verb->options;
  for (const std::string& name : OptionNames(VerbOptions())) {
    if (command.options.count(name) == 0) continue;
    if (std::find(taken.begin(), taken.end(), name) != taken.end()) continue;
    return UsageError("option --" + name + " is not for verb " + std::string(command.verb->name));
  }
  return {};
}

boost::leaf::result<parsed_command> ParseCommand(options::variables_map map) {
  parsed_command command;
  command.options = std::move(map);
  if (command.options.count("words") > 0) {
    command.arguments = command.options["words"].as<std::vector<std::string>>();
  }
  if (command.arguments.empty()) return UsageError(HelpText());
  const std::string name = command.arguments.front();
  command.arguments.erase(command.arguments.begin());
  command.verb = verb_registry::Instance().Find(name);
  if (command.verb == nullptr) {
    std::vector<std::string_view> known;
    for (const auto& verb : verb_registry::Instance().entries()) known.push_back(verb.name);
    const std::string_view nearest = kernel::NearestName(name, known);
    return UsageError("'" + name + "' is not a verb" +
                      (nearest.empty() ? "; see cornelweirctl --help"
                                       : "; did you mean '" + std::string(nearest) + "'?"));
  }
  const std::size_t count = command.arguments.size();
  if (count < command.verb->least_arguments || count > command.verb->most_arguments) {
    return UsageError("usage: cornelweirctl " + std::string(command.verb->name) + " " +
                      std::string(command.verb->arguments));
  }
  BOOST_LEAF_CHECK(CheckOptions(command));
  return command;
}

boost::leaf::result<std::vector<kernel::endpoint>> ParseControl(const std::string& text) {
  std::vector<kernel::endpoint> hosts;
  std::istringstream parts(text);
  for (std::string part; std::getline(parts, part, ',');) {
    if (!settings::ParseEndpoint(part)) {
      return UsageError("'" + part +
                        "' is not an IP address and port; give --control 10.0.0.1:7000,...");
    }
    hosts.emplace_back(std::move(part));
  }
  return hosts;
}

// The generator's seed has 64 random bits, so ids of different commands differ.
kernel::change_id NewChangeId(kernel::seeded_random& random) {
  std::ostringstream text;
  text << std::hex << std::setfill('0') << std::setw(16) << random.NextU64() << std::setw(16)
       << random.NextU64();
  return kernel::change_id(text.str());
}

boost::leaf::result<exit_code> Run(const std::vector<std::string>& words,
                                   const command_environment& environment,
                                   boost::asio::io_context& loop, kernel::seeded_random& random,
                                   std::ostream& out) {
  BOOST_LEAF_AUTO(map, ParseOptions(words));
  if (map.count("help") > 0) {
    out << HelpText();
    return exit_code::kOk;
  }
  BOOST_LEAF_AUTO(command, ParseCommand(std::move(map)));
  const auto text_option = [&](const char* name, const std::string& otherwise) {
    return command.options.count(name) > 0 ? command.options[name].as<std::string>() : otherwise;
  };
  BOOST_LEAF_AUTO(hosts, ParseControl(text_option("control", environment.control)));
  api_client client(loop, random, std::move(hosts), environment.retry);
  const tls_files files{text_option("certificate", ""), text_option("key", ""),
                        text_option("authority", "")};
  if (!files.empty()) BOOST_LEAF_CHECK(client.UseTls(files));
  const kernel::change_id change_id(text_option("change-id", NewChangeId(random).value()));
  const std::string author = text_option("author", environment.author);
  verb_context context{client, command.arguments, command.options, change_id, author, out};
  return command.verb->run(context);
}

}  // namespace
}  // namespace internal

exit_code RunCommand(const std::vector<std::string>& words, const command_environment& environment,
                     boost::asio::io_context& loop, kernel::seeded_random& random,
                     std::ostream& out, std::ostream& messages) {
  const auto fail = [&](exit_code code, std::string_view message) {
    messages << "cornelweirctl: " << message;
    if (!message.ends_with('\n')) messages << '\n';
    return code;
  };
  return boost::leaf::try_handle_all(
      [&] { return internal::Run(words, environment, loop, random, out); },
      [&](const ctl_error& error) { return fail(error.code, error.message); },
      [&](const table_text::table_text_error& error) {
        return fail(exit_code::kUsage, table_text::ToString(error));
      },
      [&](const codec::codec_error& error) {
        return fail(exit_code::kUnavailable,
                    "the control host's answer can't be understood at '" + error.place +
                        "'; use a cornelweirctl of the same version as the control hosts");
      },
      [&] { return fail(exit_code::kUnavailable, "unknown failure"); });
}

}  // namespace cornelweir::ctl
