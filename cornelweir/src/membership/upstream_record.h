#ifndef CORNELWEIR_SRC_MEMBERSHIP_UPSTREAM_RECORD_H_
#define CORNELWEIR_SRC_MEMBERSHIP_UPSTREAM_RECORD_H_

#include <cstdint>
#include <tuple>

#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::membership {

// The states of an upstream, in the only order in which one incarnation can go through them.
enum class upstream_state : std::uint8_t { kStarting, kReady, kDraining, kGone };

// What an upstream reports about itself, and the addresses of its daemon.
struct upstream_record {
  kernel::upstream_id id;
  kernel::service_name service;
  kernel::subset_name subset;
  kernel::host_id host;
  kernel::failure_domain domain;
  // The address to which other daemons send requests.
  kernel::endpoint daemon_data;
  // The address at which child daemons subscribe. Empty if this daemon does not relay.
  kernel::endpoint daemon_control;
  kernel::request_count slots;
  kernel::request_count connections;
  kernel::incarnation incarnation;
  upstream_state state = upstream_state::kStarting;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"id", &upstream_record::id},
                      kernel::field{"service", &upstream_record::service},
                      kernel::field{"subset", &upstream_record::subset},
                      kernel::field{"host", &upstream_record::host},
                      kernel::field{"domain", &upstream_record::domain},
                      kernel::field{"daemon_data", &upstream_record::daemon_data},
                      kernel::field{"daemon_control", &upstream_record::daemon_control},
                      kernel::field{"slots", &upstream_record::slots},
                      kernel::field{"connections", &upstream_record::connections},
                      kernel::field{"incarnation", &upstream_record::incarnation},
                      kernel::field{"state", &upstream_record::state}};
  }
  friend bool operator==(const upstream_record&, const upstream_record&) = default;
};

// Returns whether names have a permitted length, counts are not negative and the state is a known
// one. Records come from other processes, so they have to be checked.
bool IsValid(const upstream_record& record);

}  // namespace cornelweir::membership

#endif  // CORNELWEIR_SRC_MEMBERSHIP_UPSTREAM_RECORD_H_
