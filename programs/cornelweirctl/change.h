#ifndef PROGRAMS_CORNELWEIRCTL_CHANGE_H_
#define PROGRAMS_CORNELWEIRCTL_CHANGE_H_

#include <boost/leaf.hpp>
#include <string>
#include <vector>

#include "programs/cornelweirctl/api/edits_request.h"
#include "programs/cornelweirctl/exit_code.h"
#include "programs/cornelweirctl/verb_context.h"

namespace cornelweir::ctl {

// Sends a change until its outcome is known. If no host answers, the error tells how to ask for the
// outcome again under the same change id.
boost::leaf::result<api_reply> SendChange(verb_context& context, const std::string& target,
                                          codec::json body);

// Edits the draft and prints the outcome: new row versions, conflicts, or faults.
boost::leaf::result<exit_code> SendEdits(verb_context& context,
                                         std::vector<edits_request::edit> edits);

// Makes a new version by /v1/accept or /v1/restore and prints the outcome.
boost::leaf::result<exit_code> SendVersionChange(verb_context& context, const std::string& target,
                                                 codec::json body);

}  // namespace cornelweir::ctl

#endif  // PROGRAMS_CORNELWEIRCTL_CHANGE_H_
