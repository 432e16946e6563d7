#ifndef PROGRAMS_CORNELWEIRCTL_NUMBER_H_
#define PROGRAMS_CORNELWEIRCTL_NUMBER_H_

#include <boost/leaf.hpp>
#include <cstdint>
#include <string>

namespace cornelweir::ctl {

// Reads a number without sign from an argument; what names it in the error, for example
// "a version".
boost::leaf::result<std::uint64_t> ParseNumber(const std::string& text, const std::string& what);

}  // namespace cornelweir::ctl

#endif  // PROGRAMS_CORNELWEIRCTL_NUMBER_H_
