#ifndef PROGRAMS_CORNELWEIRCTL_API_DRAFT_REPLY_H_
#define PROGRAMS_CORNELWEIRCTL_API_DRAFT_REPLY_H_

#include <tuple>
#include <vector>

#include "cornelweir/kernel.h"
#include "cornelweir/table.h"

namespace cornelweir::ctl {

// Answer of GET /v1/draft.
struct draft_reply {
  struct row {
    table::row_key key;
    kernel::row_version row_version;
    table::row_content content;

    static constexpr auto Fields() {
      return std::tuple{kernel::field{"key", &row::key},
                        kernel::field{"row_version", &row::row_version},
                        kernel::field{"content", &row::content}};
    }
  };

  kernel::table_version base_version;
  std::vector<row> rows;
  std::vector<table::table_fault> faults;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"base_version", &draft_reply::base_version},
                      kernel::field{"rows", &draft_reply::rows},
                      kernel::field{"faults", &draft_reply::faults}};
  }
};

}  // namespace cornelweir::ctl

#endif  // PROGRAMS_CORNELWEIRCTL_API_DRAFT_REPLY_H_
