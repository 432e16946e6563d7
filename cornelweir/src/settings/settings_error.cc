#include "cornelweir/src/settings/settings_error.h"

namespace cornelweir::settings {

std::string ToString(const settings_error& error) {
  std::string lines;
  for (const settings_fault& fault : error.faults) {
    lines += fault.place + ": " + fault.reason + "\n";
  }
  return lines;
}

}  // namespace cornelweir::settings
