#ifndef PROGRAMS_CORNELWEIRCTL_VERBS_CHECK_INPUT_H_
#define PROGRAMS_CORNELWEIRCTL_VERBS_CHECK_INPUT_H_

#include <boost/leaf.hpp>
#include <string>
#include <vector>

#include "cornelweir/policy.h"
#include "programs/cornelweirctl/verb_context.h"

namespace cornelweir::ctl {

// The policy with which a document is compared.
struct comparison_base {
  policy::policy_table table;
  // Control hosts send digests instead of keys.
  bool has_key_digests = false;
  // What the control host knows of the services; empty if the policy is from a file.
  std::vector<policy::service_state> services;
};

// Reads a file, or standard input if the path is "-". Errors carry a ctl_error with
// exit_code::kUnavailable.
boost::leaf::result<std::string> ReadDocument(const std::string& path);

// Reads the policy in force from a control host if the text is an IP address and port, otherwise
// from the file of that path. Errors as above, or a codec_error for the answer of a control host.
boost::leaf::result<comparison_base> ReadBase(verb_context& context, const std::string& against);

}  // namespace cornelweir::ctl

#endif  // PROGRAMS_CORNELWEIRCTL_VERBS_CHECK_INPUT_H_
