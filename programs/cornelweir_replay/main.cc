#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <variant>
#include <vector>

#include "programs/cornelweir_replay/replayer.h"
#include "programs/cornelweir_replay/trace.h"
#include "programs/version.h"

namespace cornelweir::programs::replay {
namespace {

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

// Replays one file and reports. Returns whether all stated outcomes held.
bool ReplayFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    std::cout << path << ": can't be read\n";
    return false;
  }
  const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  const auto parsed = ParseTrace(text);
  if (const auto* fault = std::get_if<std::string>(&parsed)) {
    std::cout << path << ": " << *fault << '\n';
    return false;
  }
  const trace& recorded = std::get<trace>(parsed);
  const std::vector<std::string> failures = replayer(recorded).Run();
  std::cout << path << ": " << (failures.empty() ? "ok" : "FAILED") << " (" << recorded.promise
            << ", " << recorded.name << ")\n";
  for (const std::string& failure : failures) std::cout << "  " << failure << '\n';
  return failures.empty();
}

int Main(const std::vector<std::string>& arguments) {
  if (arguments.size() == 1 && arguments[0] == "--version") {
    std::cout << "cornelweir-replay " << kVersion << '\n';
    return EXIT_SUCCESS;
  }
  if (arguments.empty() || arguments[0].starts_with("-")) {
    std::cerr << "Usage: cornelweir-replay FILE...\n"
                 "Replays recorded traces against the decision code and compares what happens "
                 "with the stated outcomes.\n";
    return kExitUsage;
  }
  std::size_t failed = 0;
  for (const std::string& path : arguments) failed += ReplayFile(path) ? 0 : 1;
  std::cout << arguments.size() - failed << " passed, " << failed << " failed\n";
  return failed == 0 ? EXIT_SUCCESS : kExitFailed;
}

}  // namespace
}  // namespace cornelweir::programs::replay

int main(int argc, char** argv) {
  try {
    return cornelweir::programs::replay::Main({argv + 1, argv + argc});
  } catch (const std::exception& error) {
    std::fprintf(stderr, "cornelweir-replay: %s\n", error.what());
    return EXIT_FAILURE;
  }
}
