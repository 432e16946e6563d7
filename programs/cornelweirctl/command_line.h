#ifndef PROGRAMS_CORNELWEIRCTL_COMMAND_LINE_H_
#define PROGRAMS_CORNELWEIRCTL_COMMAND_LINE_H_

#include <boost/asio/io_context.hpp>
#include <ostream>
#include <string>
#include <vector>

#include "cornelweir/kernel.h"
#include "programs/cornelweirctl/exit_code.h"
#include "programs/cornelweirctl/retry_policy.h"

namespace cornelweir::ctl {

// What a command takes from its surroundings.
struct command_environment {
  // Control hosts, unless --control names others.
  std::string control;
  // Author of changes, unless --author names another.
  std::string author;
  retry_policy retry;
};

// Runs one command: words are the program's arguments without its name. Results go to out, messages
// for the operator to messages.
exit_code RunCommand(const std::vector<std::string>& words, const command_environment& environment,
                     boost::asio::io_context& loop, kernel::seeded_random& random,
                     std::ostream& out, std::ostream& messages);

}  // namespace cornelweir::ctl

#endif  // PROGRAMS_CORNELWEIRCTL_COMMAND_LINE_H_
