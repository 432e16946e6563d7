// Sends requests to daemons at a constant rate and checks that each answer is whole and belongs to
// its request.

#include <cstdlib>
#include <exception>
#include <iostream>

#include "cornelweir/loop.h"
#include "programs/cornelweir_load/generator.h"
#include "programs/cornelweir_load/options.h"

namespace cornelweir::load {
namespace {

int Main(int argc, char** argv) {
  const auto settings = ReadOptions(argc, argv);
  if (!settings) return EXIT_FAILURE;
  loop::event_loop loop;
  generator source(loop, *settings);
  source.Start();
  loop.Run();
  std::cout << source.report().ToJson(*settings, source.duration()).dump() << std::endl;
  if (!settings->report_key_file.empty() && !source.report().WriteKeys(*settings)) {
    std::cerr << "cornelweir-load: cannot write " << settings->report_key_file << "\n";
    return EXIT_FAILURE;
  }
  return source.report().all_answers_sound() ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace
}  // namespace cornelweir::load

int main(int argc, char** argv) {
  try {
    return cornelweir::load::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "cornelweir-load: " << error.what() << "\n";
    return EXIT_FAILURE;
  }
}
