#ifndef PROGRAMS_CORNELWEIRCTL_API_VERSION_REPLY_H_
#define PROGRAMS_CORNELWEIRCTL_API_VERSION_REPLY_H_

#include <string>
#include <tuple>
#include <vector>

#include "cornelweir/kernel.h"
#include "cornelweir/table.h"

namespace cornelweir::ctl {

// Answer of POST /v1/accept and POST /v1/restore.
struct version_reply {
  std::string result;
  kernel::table_version version;
  std::vector<table::table_fault> faults;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"result", &version_reply::result},
                      kernel::field{"version", &version_reply::version},
                      kernel::field{"faults", &version_reply::faults}};
  }
};

}  // namespace cornelweir::ctl

#endif  // PROGRAMS_CORNELWEIRCTL_API_VERSION_REPLY_H_
