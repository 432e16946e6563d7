#ifndef CORNELWEIR_SRC_SETTINGS_SETTINGS_ERROR_H_
#define CORNELWEIR_SRC_SETTINGS_SETTINGS_ERROR_H_

#include <string>
#include <vector>

namespace cornelweir::settings {

// What is wrong with one setting. The place is a path of keys such as "control.peers[1].mesh", or
// a file name.
struct settings_fault {
  std::string place;
  std::string reason;
};

// Every error that one reading found.
struct settings_error {
  std::vector<settings_fault> faults;
};

// One line for each error.
std::string ToString(const settings_error& error);

}  // namespace cornelweir::settings

#endif  // CORNELWEIR_SRC_SETTINGS_SETTINGS_ERROR_H_
