#include "plugins/control/quota_service.h"

#include <algorithm>
#include <utility>

#include "cornelweir/codec.h"
#include "cornelweir/logging.h"
#include "plugins/control/control_plugin.h"

namespace cornelweir::plugins::control {
namespace internal {

// Requests of daemons that arrive within this period are merged.
constexpr kernel::milliseconds kQuotaFlushPeriod{5};
// A request that can't be forwarded or answered for this long is dropped: the daemon asks again,
// and tokens that are issued twice would be missing at other daemons.
constexpr kernel::milliseconds kMaxQuotaQueueTime = quota::kGrantTimeout;
// A daemon is no longer expected to use the answer after this time.
constexpr kernel::milliseconds kMaxAnswerTime{700};
// Requests in the queue above which further ones are dropped.
constexpr std::size_t kMaxQuotaQueue = 20'000;
constexpr kernel::milliseconds kBucketSweepPeriod{1'000};

quota::quota_limits ToQuotaLimits(const settings::quota_settings& settings) {
  return {kernel::milliseconds(settings.window_ms), settings.overshoot, settings.slack};
}

}  // namespace internal

quota_service::quota_service(control_plugin& owner, daemon_context& context)
    : owner_(owner),
      context_(context),
      tokens_(internal::ToQuotaLimits(context.settings.control->quota)),
      merger_(kernel::nonce(context.random.NextU64() >> 1U)),
      flush_timer_(context.loop),
      requests_(context.metrics.Counter("cornelweir_quota_requests_total",
                                        "Requests for tokens that this host answered as leader")),
      tokens_requested_(context.metrics.Counter("cornelweir_quota_tokens_requested_total",
                                                "Tokens that daemons requested from this leader")),
      tokens_issued_(context.metrics.Counter("cornelweir_quota_tokens_issued_total",
                                             "Tokens that this host issued as leader")) {}

void quota_service::Stop() {
  flush_timer_.Cancel();
  queue_.clear();
}

void quota_service::Receive(const std::shared_ptr<transport::link>& daemon,
                            const quota::quota_request& request) {
  if (waiting_.size() >= internal::kMaxQuotaQueue) return;
  next_id_ = Next(next_id_);
  waiting_.emplace(next_id_, waiting_daemon{daemon, Now()});
  merger_.Add(next_id_, request, Now());
  if (!flush_timer_.running()) {
    flush_timer_.Start(internal::kQuotaFlushPeriod, [this] { Flush(); });
  }
}

void quota_service::Receive(const kernel::host_id& sender, const protocol::quota_batch& batch) {
  if (queue_.size() + batch.requests.size() > internal::kMaxQuotaQueue) return;
  const kernel::time_point now = Now();
  for (const protocol::forwarded_quota_request& forwarded : batch.requests) {
    queue_.push_back({sender, forwarded, now});
  }
  Flush();
}

void quota_service::Receive(const protocol::quota_grant_batch& batch) {
  for (const protocol::forwarded_quota_grant& forwarded : batch.grants) {
    OnOwnGrant(forwarded.grant);
  }
}

// Answers or forwards what is queued. What is left, because this host may not issue yet or knows no
// leader, is tried again shortly after.
void quota_service::Flush() {
  DropExpired();
  const replication::node& node = owner_.local_replica().node();
  if (asked_leader_ != node.leader()) {
    asked_leader_ = node.leader();
    merger_.OnOwnerChanged();
  }
  if (node.IsLeader()) {
    // The fence and the buckets use the same time, so that a pause in between can't move tokens to
    // the time of a later leader.
    const kernel::time_point now = Now();
    if (MayIssue(now)) AnswerQueue(now);
  } else {
    // A host that sent a request to this one will learn of the leader, too.
    queue_.clear();
    if (node.leader()) ForwardMerged(*node.leader());
  }
  if (!queue_.empty() || merger_.HasWork()) {
    flush_timer_.Start(internal::kQuotaFlushPeriod, [this] { Flush(); });
  } else {
    flush_timer_.Cancel();
  }
}

void quota_service::DropExpired() {
  const kernel::time_point now = Now();
  std::erase_if(queue_, [&](const queued_request& queued) {
    return now - queued.received_at > internal::kMaxQuotaQueueTime;
  });
  for (const quota::quota_merger::answer& answered : merger_.Tick(now)) SendToDaemon(answered);
  while (!waiting_.empty() &&
         now - waiting_.begin()->second.received_at > internal::kMaxAnswerTime) {
    waiting_.erase(waiting_.begin());
  }
}

// Whether this host, as the leader, may issue tokens now by the policy that it has applied.
bool quota_service::MayIssue(kernel::time_point now) {
  const replica& local = owner_.local_replica();
  const replication::node& node = local.node();
  if (owned_term_ != node.current_term()) {
    owned_term_ = node.current_term();
    tokens_.Restart(node.leadership_start());
  }
  return tokens_.MayIssue(node.confirmed_round_sent_at(), now) &&
         local.applied_index() >= node.commit_index();
}

void quota_service::AnswerQueue(kernel::time_point now) {
  UpdateLimits();
  while (auto merged = merger_.NextRequest(now)) {
    queue_.push_back({std::nullopt, {merged->nonce.value(), *std::move(merged)}, now});
  }
  std::map<kernel::host_id, protocol::quota_grant_batch> answers;
  for (const queued_request& queued : std::exchange(queue_, {})) {
    const kernel::host_id& holder = queued.sender ? *queued.sender : context_.settings.host;
    protocol::forwarded_quota_grant answer{queued.forwarded.id,
                                           Answer(holder, queued.forwarded.request, now)};
    if (queued.sender) {
      answers[*queued.sender].grants.push_back(std::move(answer));
    } else {
      OnOwnGrant(answer.grant);
    }
  }
  for (const auto& [host, batch] : answers) owner_.SendToHost(host, batch);
  if (now - last_sweep_at_ < internal::kBucketSweepPeriod) return;
  last_sweep_at_ = now;
  tokens_.DropFullBuckets(now);
}

void quota_service::ForwardMerged(const kernel::host_id& leader) {
  while (auto merged = merger_.NextRequest(Now())) {
    protocol::quota_batch batch;
    batch.requests.push_back({merged->nonce.value(), *std::move(merged)});
    if (owner_.SendToHost(leader, batch)) continue;
    merger_.OnOwnerChanged();
    return;
  }
}

void quota_service::OnOwnGrant(const quota::quota_grant& grant) {
  for (const quota::quota_merger::answer& answered : merger_.OnGrant(grant, Now())) {
    SendToDaemon(answered);
  }
}

quota::quota_grant quota_service::Answer(const kernel::host_id& holder,
                                         const quota::quota_request& request,
                                         kernel::time_point now) {
  quota::quota_grant grant{request.nonce, {}};
  grant.entries.reserve(request.entries.size());
  for (const quota::token_request& entry : request.entries) {
    grant.entries.push_back(Answer(entry, now));
    tokens_.IssueReserve({holder, request.nonce, entry.held, entry.demand}, grant.entries.back(),
                         now);
    tokens_requested_.Increment(static_cast<std::uint64_t>(
        std::clamp(entry.wanted, kernel::request_count(0), quota::kMaxTokensPerEntry).value()));
    tokens_issued_.Increment(static_cast<std::uint64_t>(grant.entries.back().granted.value()));
  }
  requests_.Increment();
  return grant;
}

quota::token_grant quota_service::Answer(const quota::token_request& request,
                                         kernel::time_point now) {
  const auto limit = limits_.find(request.workspace);
  if (limit != limits_.end()) return tokens_.Issue(request, limit->second, now);
  // The policy of the daemon is outdated: the workspace has no limit any more, or is gone.
  const auto& workspaces = policy_->workspaces;
  const bool exists = std::any_of(
      workspaces.begin(), workspaces.end(),
      [&](const policy::workspace& existing) { return existing.name == request.workspace; });
  quota::token_grant grant;
  grant.workspace = request.workspace;
  if (exists) {
    grant.granted = std::clamp(request.wanted, kernel::request_count(0), quota::kMaxTokensPerEntry);
    grant.lifetime = quota::kMaxTokenLifetime;
  } else {
    grant.next_in = quota::kUnknownWorkspaceDelay;
  }
  return grant;
}

void quota_service::UpdateLimits() {
  const auto& current = owner_.local_replica().machine().policy().current();
  if (policy_ == current) return;
  policy_ = current;
  limits_.clear();
  for (const policy::workspace& limited : policy_->workspaces) {
    if (!limited.HasQuota()) continue;
    limits_[limited.name] = {*limited.rate, limited.burst.value_or(kernel::request_amount())};
  }
}

void quota_service::SendToDaemon(const quota::quota_merger::answer& answered) {
  const auto found = waiting_.find(answered.request);
  if (found == waiting_.end()) return;
  const std::shared_ptr<transport::link> link = found->second.link.lock();
  waiting_.erase(found);
  if (link) link->Send(codec::Encode(protocol::fleet_message{answered.grant}));
}

}  // namespace cornelweir::plugins::control
