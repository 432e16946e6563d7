#include "programs/cornelweir_load/options.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <iostream>
#include <sstream>

namespace cornelweir::load {
namespace {

namespace program_options = boost::program_options;

// Reads "/path" or "/path=weight".
std::optional<weighted_path> ReadPath(const std::string& text) {
  const std::size_t equals = text.rfind('=');
  weighted_path read{text.substr(0, equals), 1};
  if (equals != std::string::npos) {
    std::istringstream digits(text.substr(equals + 1));
    if (!(digits >> read.weight) || !digits.eof() || read.weight == 0) return std::nullopt;
  }
  if (!read.path.starts_with('/')) return std::nullopt;
  return read;
}

}  // namespace

std::optional<options> ReadOptions(int argc, char** argv) {
  options settings;
  std::string targets;
  std::vector<std::string> paths;
  program_options::options_description description("cornelweir-load");
  const auto with = [](auto& member, auto standard) {
    return program_options::value(&member)->default_value(standard);
  };
  auto add = description.add_options();
  add("help", "show the options");
  add("target", program_options::value(&targets)->required(), "daemons, separated by commas");
  add("path", program_options::value(&paths)->required(), "PATH or PATH=WEIGHT; may be repeated");
  add("rate", with(settings.rate, 100.0), "requests per second; 0 keeps in-flight requests busy");
  add("duration-s", with(settings.duration_s, 10.0), "time to send for");
  add("tenants", with(settings.workspaces, std::uint64_t{1}), "number of workspaces");
  add("post-share", with(settings.post_share, 0.0), "share of requests that must not run twice");
  add("body-bytes", with(settings.body_bytes, std::size_t{64}), "size of the body of these");
  add("resend", with(settings.resend, 0), "attempts after a lost answer, each at another daemon");
  add("timeout-ms", with(settings.timeout_ms, std::int64_t{5000}), "time for one attempt");
  add("in-flight", with(settings.in_flight, std::size_t{1000}), "requests in progress at most");
  add("connections", with(settings.connections, std::size_t{100}), "connections to each daemon");
  add("seed", with(settings.seed, std::uint64_t{1}), "seed of all random choices");
  add("key-prefix", program_options::value(&settings.key_prefix),
      "start of keys and request ids; by default derived from the seed");
  add("report-key-file", program_options::value(&settings.report_key_file),
      "file that gets a line 'key ran|not-run|unknown' for each request that must not run twice");
  try {
    program_options::variables_map values;
    program_options::store(program_options::parse_command_line(argc, argv, description), values);
    if (values.contains("help")) {
      std::cout << description;
      return std::nullopt;
    }
    program_options::notify(values);
  } catch (const program_options::error& error) {
    std::cerr << "cornelweir-load: " << error.what() << "\n";
    return std::nullopt;
  }
  std::istringstream list(targets);
  for (std::string target; std::getline(list, target, ',');) settings.targets.emplace_back(target);
  for (const std::string& text : paths) {
    const auto path = ReadPath(text);
    if (!path) {
      std::cerr << "cornelweir-load: bad path '" << text << "'\n";
      return std::nullopt;
    }
    settings.paths.push_back(*path);
  }
  if (settings.targets.empty() || settings.in_flight == 0) {
    std::cerr << "cornelweir-load: at least one target and one request in flight are needed\n";
    return std::nullopt;
  }
  settings.workspaces = std::max<std::uint64_t>(settings.workspaces, 1);
  if (settings.key_prefix.empty()) settings.key_prefix = "s" + std::to_string(settings.seed);
  return settings;
}

}  // namespace cornelweir::load
