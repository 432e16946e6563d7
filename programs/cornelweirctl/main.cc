#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <random>
#include <string>
#include <vector>

#include "programs/cornelweirctl/command_line.h"

namespace {

std::string Environment(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

}  // namespace

int main(int argc, char** argv) {
  using cornelweir::ctl::command_environment;
  try {
    boost::asio::io_context loop(1);
    std::random_device entropy;
    cornelweir::kernel::seeded_random random((std::uint64_t{entropy()} << 32) | entropy());
    const command_environment environment{
        Environment("CORNELWEIR_CONTROL"), Environment("USER"), {}};
    const std::vector<std::string> words(argv + 1, argv + argc);
    return static_cast<int>(
        cornelweir::ctl::RunCommand(words, environment, loop, random, std::cout, std::cerr));
  } catch (const std::exception& error) {
    // Out of memory or no entropy. Whether a change was made is not known.
    std::fprintf(stderr, "cornelweirctl: %s\n", error.what());
    return static_cast<int>(cornelweir::ctl::exit_code::kUnavailable);
  }
}
