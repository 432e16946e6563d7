#ifndef PROGRAMS_CORNELWEIRCTL_API_HISTORY_REPLY_H_
#define PROGRAMS_CORNELWEIRCTL_API_HISTORY_REPLY_H_

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "cornelweir/kernel.h"

namespace cornelweir::ctl {

// Answer of GET /v1/history.
struct history_reply {
  struct accepted_version {
    kernel::table_version version;
    std::string author;
    std::string note;
    // Milliseconds since 1970 by the leader's clock.
    std::int64_t accepted_at_ms = 0;
    std::int64_t changed_rows = 0;

    static constexpr auto Fields() {
      return std::tuple{kernel::field{"version", &accepted_version::version},
                        kernel::field{"author", &accepted_version::author},
                        kernel::field{"note", &accepted_version::note},
                        kernel::field{"accepted_at_ms", &accepted_version::accepted_at_ms},
                        kernel::field{"changed_rows", &accepted_version::changed_rows}};
    }
  };

  std::vector<accepted_version> versions;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"versions", &history_reply::versions}};
  }
};

}  // namespace cornelweir::ctl

#endif  // PROGRAMS_CORNELWEIRCTL_API_HISTORY_REPLY_H_
