#ifndef PROGRAMS_CORNELWEIRCTL_STATUS_QUERY_H_
#define PROGRAMS_CORNELWEIRCTL_STATUS_QUERY_H_

#include <vector>

#include "programs/cornelweirctl/progress.h"
#include "programs/cornelweirctl/verb_context.h"

namespace cornelweir::ctl {

// Asks every control host once for its status.
std::vector<host_report> AskAllHosts(verb_context& context);

}  // namespace cornelweir::ctl

#endif  // PROGRAMS_CORNELWEIRCTL_STATUS_QUERY_H_
