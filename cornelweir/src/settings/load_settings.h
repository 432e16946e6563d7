#ifndef CORNELWEIR_SRC_SETTINGS_LOAD_SETTINGS_H_
#define CORNELWEIR_SRC_SETTINGS_LOAD_SETTINGS_H_

#include <boost/leaf.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "cornelweir/src/settings/daemon_settings.h"

namespace cornelweir::settings {

// Reads a settings file. Each override replaces one key and has the form
// "control.data_folder=/tmp/x"; a list of texts is given with commas, other lists as JSON. Errors
// carry a settings_error with every error in the file and in the overrides.
boost::leaf::result<daemon_settings> LoadSettings(const std::string& path,
                                                  const std::vector<std::string>& overrides);

// The same for text that is already in memory.
boost::leaf::result<daemon_settings> ParseSettings(std::string_view text,
                                                   const std::vector<std::string>& overrides);

}  // namespace cornelweir::settings

#endif  // CORNELWEIR_SRC_SETTINGS_LOAD_SETTINGS_H_
