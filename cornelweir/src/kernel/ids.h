#ifndef CORNELWEIR_SRC_KERNEL_IDS_H_
#define CORNELWEIR_SRC_KERNEL_IDS_H_

#include <cstdint>
#include <string>

#include "cornelweir/src/kernel/strong_id.h"

namespace cornelweir::kernel {

// Names that operators choose in tables and settings.
using service_name = strong_id<struct service_name_tag, std::string>;
using subset_name = strong_id<struct subset_name_tag, std::string>;
using limit_name = strong_id<struct limit_name_tag, std::string>;
using wait_name = strong_id<struct wait_name_tag, std::string>;
using route_name = strong_id<struct route_name_tag, std::string>;
using host_id = strong_id<struct host_id_tag, std::string>;
using upstream_id = strong_id<struct upstream_id_tag, std::string>;
using workspace_id = strong_id<struct workspace_id_tag, std::string>;
// The secret by which callers of a workspace identify themselves.
using api_key = strong_id<struct api_key_tag, std::string>;
// The version of the software that an upstream runs.
using software_version = strong_id<struct software_version_tag, std::string>;
using failure_domain = strong_id<struct failure_domain_tag, std::string>;

// The version of an accepted table. Grows by one with every accepted version.
using table_version = strong_id<struct table_version_tag, std::uint64_t>;
// The version of an accepted policy. Chosen by operators; increases from one policy to the next by
// any amount.
using policy_version = strong_id<struct policy_version_tag, std::uint64_t>;
// A digest of a policy's content, which distinguishes two policies with the same version.
using policy_digest = strong_id<struct policy_digest_tag, std::uint64_t>;
// The version of one row, changed by every edit of the row.
using row_version = strong_id<struct row_version_tag, std::uint64_t>;
// The revision of the announced membership: the log index of the latest change to it.
using membership_revision = strong_id<struct membership_revision_tag, std::uint64_t>;
// A digest of a rollout order's content, which distinguishes two orders for a service.
using order_digest = strong_id<struct order_digest_tag, std::uint64_t>;
// The revision of the rollout records: the log index of the latest change to them.
using rollout_revision = strong_id<struct rollout_revision_tag, std::uint64_t>;
// Identifies one process start of an upstream. A larger value supersedes a smaller one.
using incarnation = strong_id<struct incarnation_tag, std::uint64_t>;
// A leader's term in the replicated log.
using term = strong_id<struct term_tag, std::uint64_t>;
// The position of an entry in the replicated log. The first entry has index 1.
using log_index = strong_id<struct log_index_tag, std::uint64_t>;
// A heartbeat round that a majority of control hosts confirmed.
using heartbeat_round = strong_id<struct heartbeat_round_tag, std::uint64_t>;
// The identity of one data folder: random at its creation, 0 if there is none. A host whose disk is
// replaced keeps its host id and gets a new disk id.
using disk_id = strong_id<struct disk_id_tag, std::uint64_t>;
// Matches a reply to the request of one process.
using nonce = strong_id<struct nonce_tag, std::uint64_t>;
// Chosen by the operator's client; a resend of a change carries the same id.
using change_id = strong_id<struct change_id_tag, std::string>;
// Chosen by a caller; a resend of a request carries the same key.
using idempotency_key = strong_id<struct idempotency_key_tag, std::string>;
// Identifies one attempt to run a request, unique across daemons and restarts.
using attempt_id = strong_id<struct attempt_id_tag, std::string>;
// A digest of a request's content, which distinguishes it from other requests.
using fingerprint = strong_id<struct fingerprint_tag, std::uint64_t>;

// Identifies a request between two daemons, unique on their connection.
using call_id = strong_id<struct call_id_tag, std::uint64_t>;

// An IP address and port in the form "127.0.0.1:8080".
using endpoint = strong_id<struct endpoint_tag, std::string>;

}  // namespace cornelweir::kernel

#endif  // CORNELWEIR_SRC_KERNEL_IDS_H_
