#ifndef PROGRAMS_CORNELWEIRCTL_API_EDITS_REQUEST_H_
#define PROGRAMS_CORNELWEIRCTL_API_EDITS_REQUEST_H_

#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "cornelweir/kernel.h"
#include "cornelweir/table.h"

namespace cornelweir::ctl {

// Body of POST /v1/edits.
struct edits_request {
  struct edit {
    table::row_key key;
    // 0: the row must not exist.
    kernel::row_version expected_row_version;
    // Empty: the row is deleted.
    std::optional<table::row_content> content;

    static constexpr auto Fields() {
      return std::tuple{kernel::field{"key", &edit::key},
                        kernel::field{"expected_row_version", &edit::expected_row_version},
                        kernel::field{"content", &edit::content}};
    }
  };

  kernel::change_id change_id;
  std::string author;
  std::vector<edit> edits;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"change_id", &edits_request::change_id},
                      kernel::field{"author", &edits_request::author},
                      kernel::field{"edits", &edits_request::edits}};
  }
};

}  // namespace cornelweir::ctl

#endif  // PROGRAMS_CORNELWEIRCTL_API_EDITS_REQUEST_H_
