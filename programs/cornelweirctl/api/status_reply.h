#ifndef PROGRAMS_CORNELWEIRCTL_API_STATUS_REPLY_H_
#define PROGRAMS_CORNELWEIRCTL_API_STATUS_REPLY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "cornelweir/kernel.h"

namespace cornelweir::ctl {

// Answer of GET /v1/status: what one control host knows.
struct status_reply {
  struct peer {
    kernel::host_id host;
    bool voter = false;
    kernel::log_index match_index;
    bool reachable = false;

    static constexpr auto Fields() {
      return std::tuple{kernel::field{"host", &peer::host}, kernel::field{"voter", &peer::voter},
                        kernel::field{"match_index", &peer::match_index},
                        kernel::field{"reachable", &peer::reachable}};
    }
  };

  struct proxy {
    kernel::host_id host;
    kernel::service_name service;
    kernel::table_version version;
    kernel::membership_revision revision;
    bool ready = false;

    static constexpr auto Fields() {
      return std::tuple{
          kernel::field{"host", &proxy::host}, kernel::field{"service", &proxy::service},
          kernel::field{"version", &proxy::version}, kernel::field{"revision", &proxy::revision},
          kernel::field{"ready", &proxy::ready}};
    }
  };

  struct upstream {
    kernel::upstream_id id;
    kernel::service_name service;
    kernel::subset_name subset;
    kernel::failure_domain domain;
    std::string state;
    kernel::endpoint endpoint;
    kernel::incarnation incarnation;

    static constexpr auto Fields() {
      return std::tuple{kernel::field{"id", &upstream::id},
                        kernel::field{"service", &upstream::service},
                        kernel::field{"subset", &upstream::subset},
                        kernel::field{"domain", &upstream::domain},
                        kernel::field{"state", &upstream::state},
                        kernel::field{"endpoint", &upstream::endpoint},
                        kernel::field{"incarnation", &upstream::incarnation}};
    }
  };

  struct quarantined_request {
    kernel::fingerprint fingerprint;
    // Empty if it is not known.
    kernel::service_name service;
    std::int64_t expires_in_ms = 0;

    static constexpr auto Fields() {
      return std::tuple{kernel::field{"fingerprint", &quarantined_request::fingerprint},
                        kernel::field{"service", &quarantined_request::service},
                        kernel::field{"expires_in_ms", &quarantined_request::expires_in_ms}};
    }
  };

  // The state of the control host's data folder.
  struct storage_status {
    // The call that failed first in the outage.
    struct failed_call {
      std::string file;
      std::string call;
      int error_number = 0;
      std::int64_t offset = 0;

      static constexpr auto Fields() {
        return std::tuple{kernel::field{"file", &failed_call::file},
                          kernel::field{"call", &failed_call::call},
                          kernel::field{"errno", &failed_call::error_number},
                          kernel::field{"offset", &failed_call::offset}};
      }
    };

    std::string state;
    std::int64_t outages = 0;
    std::optional<std::int64_t> free_bytes;
    // Empty while the storage is healthy.
    std::optional<std::int64_t> outage_ms;
    std::optional<failed_call> error;

    static constexpr auto Fields() {
      return std::tuple{kernel::field{"state", &storage_status::state},
                        kernel::field{"outages", &storage_status::outages},
                        kernel::field{"free_bytes", &storage_status::free_bytes},
                        kernel::field{"outage_ms", &storage_status::outage_ms},
                        kernel::field{"error", &storage_status::error}};
    }
  };

  kernel::host_id host;
  std::string role;
  kernel::host_id leader;
  kernel::term term;
  kernel::log_index commit_index;
  kernel::log_index applied_index;
  kernel::table_version version;
  kernel::membership_revision revision;
  // Empty if the control host is of a version that doesn't report it.
  std::optional<storage_status> storage;
  std::vector<peer> peers;
  std::int64_t subscribers = 0;
  std::vector<proxy> proxies;
  std::vector<upstream> upstreams;
  std::vector<quarantined_request> quarantined;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"host", &status_reply::host},
                      kernel::field{"role", &status_reply::role},
                      kernel::field{"leader", &status_reply::leader},
                      kernel::field{"term", &status_reply::term},
                      kernel::field{"commit_index", &status_reply::commit_index},
                      kernel::field{"applied_index", &status_reply::applied_index},
                      kernel::field{"version", &status_reply::version},
                      kernel::field{"revision", &status_reply::revision},
                      kernel::field{"storage", &status_reply::storage},
                      kernel::field{"peers", &status_reply::peers},
                      kernel::field{"subscribers", &status_reply::subscribers},
                      kernel::field{"proxies", &status_reply::proxies},
                      kernel::field{"upstreams", &status_reply::upstreams},
                      kernel::field{"quarantined", &status_reply::quarantined}};
  }
};

}  // namespace cornelweir::ctl

#endif  // PROGRAMS_CORNELWEIRCTL_API_STATUS_REPLY_H_
