#ifndef PROGRAMS_CORNELWEIRCTL_PRINTABLE_H_
#define PROGRAMS_CORNELWEIRCTL_PRINTABLE_H_

#include <string>
#include <string_view>

namespace cornelweir::ctl {

// Replaces control characters, which could change what a terminal shows, by "\x" and two
// hexadecimal digits for each byte. Expects UTF-8.
std::string Printable(std::string_view text);

}  // namespace cornelweir::ctl

#endif  // PROGRAMS_CORNELWEIRCTL_PRINTABLE_H_
