#ifndef PROGRAMS_CORNELWEIRCTL_COMMAND_OPTIONS_H_
#define PROGRAMS_CORNELWEIRCTL_COMMAND_OPTIONS_H_

#include <boost/program_options/options_description.hpp>
#include <string>
#include <vector>

namespace cornelweir::ctl {

// Options of every verb.
boost::program_options::options_description CommonOptions();

// Options of single verbs.
boost::program_options::options_description VerbOptions();

// The names of the options in a description, without dashes.
std::vector<std::string> OptionNames(const boost::program_options::options_description& options);

}  // namespace cornelweir::ctl

#endif  // PROGRAMS_CORNELWEIRCTL_COMMAND_OPTIONS_H_
