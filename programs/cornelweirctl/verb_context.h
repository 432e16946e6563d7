#ifndef PROGRAMS_CORNELWEIRCTL_VERB_CONTEXT_H_
#define PROGRAMS_CORNELWEIRCTL_VERB_CONTEXT_H_

#include <boost/program_options/variables_map.hpp>
#include <ostream>
#include <string>
#include <vector>

#include "cornelweir/kernel.h"
#include "programs/cornelweirctl/api_client.h"

namespace cornelweir::ctl {

// What the program hands to a verb.
struct verb_context {
  api_client& client;
  // The words after the verb.
  std::vector<std::string> arguments;
  boost::program_options::variables_map options;
  // The id of the one change that this command makes.
  kernel::change_id change_id;
  std::string author;
  std::ostream& out;

  bool Has(const char* option) const { return options.count(option) > 0; }
  bool json() const { return Has("json"); }

  template <class T>
  T Option(const char* name, T otherwise) const {
    return Has(name) ? options[name].template as<T>() : otherwise;
  }
};

}  // namespace cornelweir::ctl

#endif  // PROGRAMS_CORNELWEIRCTL_VERB_CONTEXT_H_
