#ifndef PROGRAMS_CORNELWEIRCTL_EXIT_CODE_H_
#define PROGRAMS_CORNELWEIRCTL_EXIT_CODE_H_

#include <cstdint>

namespace cornelweir::ctl {

// The exit codes of the program; scripts rely on them.
enum class exit_code : std::uint8_t {
  kOk = 0,
  // The table refuses the change, or somebody else edited the row first.
  kRefused = 1,
  // The command line or an imported file is wrong.
  kUsage = 2,
  // No control host gave an answer.
  kUnavailable = 3,
};

}  // namespace cornelweir::ctl

#endif  // PROGRAMS_CORNELWEIRCTL_EXIT_CODE_H_
