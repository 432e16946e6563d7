#ifndef CORNELWEIR_SRC_DISTRIBUTION_CONFIGURATION_H_
#define CORNELWEIR_SRC_DISTRIBUTION_CONFIGURATION_H_

#include <string_view>
#include <tuple>
#include <vector>

#include "cornelweir/src/distribution/ids.h"
#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/table/configuration.h"

namespace cornelweir::distribution {

// Rows of a scope: a snapshot if base is 0, otherwise the changes since base.
struct configuration {
  static constexpr std::string_view kType = "configuration";

  kernel::service_name service;
  kernel::table_version version;
  kernel::table_version base;
  std::vector<table::row_change> rows;
  transfer_id transfer;
  piece_number piece;
  piece_number pieces{1};

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"service", &configuration::service},
                      kernel::field{"version", &configuration::version},
                      kernel::field{"base", &configuration::base},
                      kernel::field{"rows", &configuration::rows},
                      kernel::field{"transfer", &configuration::transfer},
                      kernel::field{"piece", &configuration::piece},
                      kernel::field{"pieces", &configuration::pieces}};
  }
  friend bool operator==(const configuration&, const configuration&) = default;
};

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_CONFIGURATION_H_
