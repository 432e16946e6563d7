#ifndef PROGRAMS_CORNELWEIRCTL_API_TABLE_REPLY_H_
#define PROGRAMS_CORNELWEIRCTL_API_TABLE_REPLY_H_

#include <tuple>
#include <vector>

#include "cornelweir/kernel.h"
#include "cornelweir/table.h"

namespace cornelweir::ctl {

// Answer of GET /v1/table and GET /v1/versions/<n>.
struct table_reply {
  struct row {
    table::row_key key;
    table::row_content content;

    static constexpr auto Fields() {
      return std::tuple{kernel::field{"key", &row::key}, kernel::field{"content", &row::content}};
    }
  };

  kernel::table_version version;
  std::vector<row> rows;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"version", &table_reply::version},
                      kernel::field{"rows", &table_reply::rows}};
  }
};

}  // namespace cornelweir::ctl

#endif  // PROGRAMS_CORNELWEIRCTL_API_TABLE_REPLY_H_
