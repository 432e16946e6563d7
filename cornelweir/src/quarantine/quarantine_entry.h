#ifndef CORNELWEIR_SRC_QUARANTINE_QUARANTINE_ENTRY_H_
#define CORNELWEIR_SRC_QUARANTINE_QUARANTINE_ENTRY_H_

#include <tuple>

#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::quarantine {

// A quarantine that one daemon tells another about.
struct quarantine_entry {
  kernel::fingerprint request;
  // The service whose upstreams it crashed.
  kernel::service_name service;
  // Time until it ends.
  kernel::microseconds left{};

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"r", &quarantine_entry::request},
                      kernel::field{"s", &quarantine_entry::service},
                      kernel::field{"l", &quarantine_entry::left}};
  }
  friend bool operator==(const quarantine_entry&, const quarantine_entry&) = default;
};

}  // namespace cornelweir::quarantine

#endif  // CORNELWEIR_SRC_QUARANTINE_QUARANTINE_ENTRY_H_
