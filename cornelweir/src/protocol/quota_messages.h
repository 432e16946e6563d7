#ifndef CORNELWEIR_SRC_PROTOCOL_QUOTA_MESSAGES_H_
#define CORNELWEIR_SRC_PROTOCOL_QUOTA_MESSAGES_H_

#include <cstdint>
#include <string_view>
#include <tuple>
#include <vector>

#include "cornelweir/kernel.h"
#include "cornelweir/quota.h"

namespace cornelweir::protocol {

// The request of a daemon, forwarded by its control host. The control host chooses the id, which
// the grant repeats.
struct forwarded_quota_request {
  std::uint64_t id = 0;
  quota::quota_request request;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"i", &forwarded_quota_request::id},
                      kernel::field{"r", &forwarded_quota_request::request}};
  }
};

struct forwarded_quota_grant {
  std::uint64_t id = 0;
  quota::quota_grant grant;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"i", &forwarded_quota_grant::id},
                      kernel::field{"g", &forwarded_quota_grant::grant}};
  }
};

// Requests of the daemons of one control host, sent to the leader.
struct quota_batch {
  static constexpr std::string_view kType = "quota_batch";

  std::vector<forwarded_quota_request> requests;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"requests", &quota_batch::requests}};
  }
};

// The leader's answers to requests of one control host.
struct quota_grant_batch {
  static constexpr std::string_view kType = "quota_grants";

  std::vector<forwarded_quota_grant> grants;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"grants", &quota_grant_batch::grants}};
  }
};

}  // namespace cornelweir::protocol

#endif  // CORNELWEIR_SRC_PROTOCOL_QUOTA_MESSAGES_H_
