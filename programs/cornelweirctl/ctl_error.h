#ifndef PROGRAMS_CORNELWEIRCTL_CTL_ERROR_H_
#define PROGRAMS_CORNELWEIRCTL_CTL_ERROR_H_

#include <string>

#include "programs/cornelweirctl/exit_code.h"

namespace cornelweir::ctl {

// Why a command failed and what to do next.
struct ctl_error {
  exit_code code = exit_code::kRefused;
  std::string message;
};

}  // namespace cornelweir::ctl

#endif  // PROGRAMS_CORNELWEIRCTL_CTL_ERROR_H_
