#ifndef PROGRAMS_CORNELWEIRCTL_API_EDITS_REPLY_H_
#define PROGRAMS_CORNELWEIRCTL_API_EDITS_REPLY_H_

#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "cornelweir/kernel.h"
#include "cornelweir/table.h"

namespace cornelweir::ctl {

// Answer of POST /v1/edits.
struct edits_reply {
  struct edited_row {
    table::row_key key;
    kernel::row_version row_version;

    static constexpr auto Fields() {
      return std::tuple{kernel::field{"key", &edited_row::key},
                        kernel::field{"row_version", &edited_row::row_version}};
    }
  };

  struct conflict {
    table::row_key key;
    kernel::row_version expected_row_version;
    kernel::row_version actual_row_version;
    std::optional<table::row_content> current;
    std::optional<table::row_content> yours;

    static constexpr auto Fields() {
      return std::tuple{kernel::field{"key", &conflict::key},
                        kernel::field{"expected_row_version", &conflict::expected_row_version},
                        kernel::field{"actual_row_version", &conflict::actual_row_version},
                        kernel::field{"current", &conflict::current},
                        kernel::field{"yours", &conflict::yours}};
    }
  };

  std::string result;
  std::vector<edited_row> row_versions;
  std::vector<conflict> conflicts;
  std::vector<table::table_fault> faults;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"result", &edits_reply::result},
                      kernel::field{"row_versions", &edits_reply::row_versions},
                      kernel::field{"conflicts", &edits_reply::conflicts},
                      kernel::field{"faults", &edits_reply::faults}};
  }
};

}  // namespace cornelweir::ctl

#endif  // PROGRAMS_CORNELWEIRCTL_API_EDITS_REPLY_H_
