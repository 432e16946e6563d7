#ifndef CORNELWEIR_SRC_KERNEL_IDS_H_
#define CORNELWEIR_SRC_KERNEL_IDS_H_

#include <cstdint>
#include <string>

#include "cornelweir/src/kernel/strong_id.h"

namespace cornelweir::kernel {

// Names that operators and settings give.
using service_name = strong_id<struct service_name_tag, std::string>;
using subset_name = strong_id<struct subset_name_tag, std::string>;
using limit_name = strong_id<struct limit_name_tag, std::string>;
using wait_name = strong_id<struct wait_name_tag, std::string>;
using route_name = strong_id<struct route_name_tag, std::string>;
using host_id = strong_id<struct host_id_tag, std::string>;
using upstream_id = strong_id<struct upstream_id_tag, std::string>;
using tenant_id = strong_id<struct tenant_id_tag, std::string>;
using failure_domain = strong_id<struct failure_domain_tag, std::string>;

// The number of an accepted table. Grows by one with every accepted version.
using table_version = strong_id<struct table_version_tag, std::uint64_t>;
// The number of an accepted policy. Chosen by operators; grows from one policy to the next in steps
// of any size.
using policy_version = strong_id<struct policy_version_tag, std::uint64_t>;
// A digest of the content of one policy, which tells two policies under one version apart.
using policy_digest = strong_id<struct policy_digest_tag, std::uint64_t>;
// The number of an edit of one row.
using row_version = strong_id<struct row_version_tag, std::uint64_t>;
// The number of the announced membership: the log index of the latest change to it.
using membership_revision = strong_id<struct membership_revision_tag, std::uint64_t>;
// The process start of an upstream. A larger one replaces a smaller one.
using incarnation = strong_id<struct incarnation_tag, std::uint64_t>;
// A leader's period in the replicated log.
using term = strong_id<struct term_tag, std::uint64_t>;
// A position in the replicated log. The first entry has index 1.
using log_index = strong_id<struct log_index_tag, std::uint64_t>;
// A heartbeat round that a majority of control hosts confirmed.
using heartbeat_round = strong_id<struct heartbeat_round_tag, std::uint64_t>;
// The identity of one data folder: random at its creation, 0 if there is none. A host whose disk is
// replaced keeps its host id and gets another disk id.
using disk_id = strong_id<struct disk_id_tag, std::uint64_t>;
// Ties an answer to the question of one process.
using nonce = strong_id<struct nonce_tag, std::uint64_t>;
// Chosen by the operator's client; a resend of a change carries the same one.
using change_id = strong_id<struct change_id_tag, std::string>;
// Chosen by a caller; a resend of a request carries the same one.
using idempotency_key = strong_id<struct idempotency_key_tag, std::string>;
// One attempt to run a request, unique over daemons and restarts.
using attempt_id = strong_id<struct attempt_id_tag, std::string>;
// A digest that tells one request's content from another's.
using fingerprint = strong_id<struct fingerprint_tag, std::uint64_t>;

// A request between two daemons, unique on their link.
using call_id = strong_id<struct call_id_tag, std::uint64_t>;

// An IP address and port in the form "127.0.0.1:8080".
using endpoint = strong_id<struct endpoint_tag, std::string>;

}  // namespace cornelweir::kernel

#endif  // CORNELWEIR_SRC_KERNEL_IDS_H_
