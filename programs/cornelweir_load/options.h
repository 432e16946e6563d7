#ifndef CORNELWEIR_PROGRAMS_CORNELWEIR_LOAD_OPTIONS_H_
#define CORNELWEIR_PROGRAMS_CORNELWEIR_LOAD_OPTIONS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cornelweir/kernel.h"

namespace cornelweir::load {

struct weighted_path {
  std::string path;
  std::uint64_t weight = 1;
};

struct options {
  std::vector<kernel::endpoint> targets;
  std::vector<weighted_path> paths;
  double rate = 0;
  double duration_s = 0;
  std::uint64_t workspaces = 0;
  double post_share = 0;
  int resend = 0;
  std::int64_t timeout_ms = 0;
  std::size_t in_flight = 0;
  std::size_t connections = 0;
  std::size_t body_bytes = 0;
  std::uint64_t seed = 0;
  std::string key_prefix;
  std::string report_key_file;
};

// Reads the command line. Returns nullopt after the help text or an error was printed.
std::optional<options> ReadOptions(int argc, char** argv);

}  // namespace cornelweir::load

#endif  // CORNELWEIR_PROGRAMS_CORNELWEIR_LOAD_OPTIONS_H_
