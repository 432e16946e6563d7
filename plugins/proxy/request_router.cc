#include "plugins/proxy/request_router.h"

#include <chrono>
#include <optional>
#include <utility>

#include "plugins/proxy/recorded_response.h"
#include "plugins/proxy/request_headers.h"

namespace cornelweir::plugins::proxy {
namespace internal {

constexpr std::size_t kMaxIdempotencyKeyBytes = 128;

// Daemons send refusal reasons as text. An unknown reason counts as a full queue, so that the
// request may be retried on another upstream.
constexpr auto kDefaultRefusal = outcome::refusal_reason::kQueueFull;

outcome::refusal_reason ParseRefusalReason(std::string_view text) {
  using outcome::refusal_reason;
  for (const auto reason :
       {refusal_reason::kNoUpstream, refusal_reason::kQueueFull, refusal_reason::kQueueTimeout,
        refusal_reason::kDeadlinePassed, refusal_reason::kWorkspaceLimit,
        refusal_reason::kServiceLimit, refusal_reason::kShuttingDown, refusal_reason::kNotReady}) {
    if (outcome::RefusalText(reason) == text) return reason;
  }
  return kDefaultRefusal;
}

bool IsNotRun(const http::header_list& headers) {
  return http::HeaderValue(headers, kOutcomeHeader) ==
         outcome::OutcomeName(outcome::request_outcome::kNotRun);
}

}  // namespace internal

request_router::request_router(daemon_context& context, control_client& client,
                               subscription& table_subscription, local_upstream& upstream,
                               http::connection_pool& pool)
    : context_(context),
      control_client_(client),
      subscription_(table_subscription),
      local_upstream_(upstream),
      pool_(pool),
      balancer_(context.settings.failure_domain),
      attempt_prefix_(context.settings.host.value() + "/" +
                      std::to_string(context.random.NextU64()) + "/") {}

void request_router::AddRefusalHeaders(bool sent, http::header_list& headers) {
  const auto request_outcome =
      sent ? outcome::request_outcome::kUnknown : outcome::request_outcome::kNotRun;
  SetHeader(headers, kOutcomeHeader, outcome::OutcomeName(request_outcome));
}

void request_router::Configure() {
  const distribution::subscriber& subscriber = subscription_.subscriber();
  routes_ = routing::route_index(subscriber.rows());
  std::vector<routing::upstream_candidate> candidates;
  for (const auto& [id, member] : subscriber.members()) {
    const bool is_candidate = member.state == membership::upstream_state::kReady ||
                              member.state == membership::upstream_state::kDraining;
    if (!is_candidate) continue;
    candidates.push_back({id, member.service, member.subset, member.domain, member.slots,
                          member.incarnation, member.state == membership::upstream_state::kDraining,
                          member.daemon_data});
  }
  balancer_.Update(subscriber.rows(), candidates, Now());
}

void request_router::ReplaceQuarantine(
    const std::vector<quarantine::quarantined_fingerprint>& entries) {
  quarantine_.Replace(entries, Now());
}

void request_router::HandleRequest(const http::request_head& head,
                                   const std::shared_ptr<http::exchange>& exchange) {
  if (!head.Header(kHopHeader).empty()) {
    HandleForwardedRequest(head, exchange);
    return;
  }
  if (draining_ || !subscription_.subscriber().ready()) {
    RespondNotRun(*exchange, draining_ ? outcome::refusal_reason::kShuttingDown
                                       : outcome::refusal_reason::kNotReady);
    return;
  }
  const routing::route_match* match = routes_.Find(head.target);
  if (match == nullptr) {
    RespondNotRun(*exchange, outcome::refusal_reason::kNoRoute);
    return;
  }
  auto request = std::make_shared<routed_request>();
  request->exchange = exchange;
  request->route = match->name;
  request->service = match->route.service;
  request->idempotent = match->route.idempotent;
  request->workspace = ParseWorkspace(head);
  request->priority = ParsePriority(head);
  request->started_at = Now();
  request->deadline =
      ParseDeadline(head, kernel::milliseconds(match->wait.request_ms), request->started_at);
  request->fingerprint = RequestFingerprint(head);
  request->arrived_as_retry = !head.Header(kRetryHeader).empty();
  request->content_digest = ContentDigest(head);
  if (quarantine_.Contains(request->fingerprint, request->started_at)) {
    Refuse(request, outcome::refusal_reason::kQuarantined);
    return;
  }
  retry_budgets_[request->service].OnRequest(request->started_at);
  if (request->idempotent) {
    StartAttempt(request);
    return;
  }
  const std::size_t key_bytes = head.Header(kIdempotencyKeyHeader).size();
  if (key_bytes == 0 || key_bytes > internal::kMaxIdempotencyKeyBytes) {
    Refuse(request, outcome::refusal_reason::kKeyMissing);
    return;
  }
  request->claim_key = ClaimKey(head, match->name);
  SubmitClaim(request);
}

// Handles a request that another daemon forwarded. It is never forwarded again.
void request_router::HandleForwardedRequest(const http::request_head& head,
                                            const std::shared_ptr<http::exchange>& exchange) {
  const kernel::time_point now = Now();
  local_request local_run;
  local_run.exchange = exchange;
  local_run.workspace = ParseWorkspace(head);
  local_run.priority = ParsePriority(head);
  local_run.deadline = ParseDeadline(head, kernel::milliseconds(table::kMaxWaitMs), now);
  local_run.fingerprint = RequestFingerprint(head);
  // The sender may not have heard of the quarantine yet.
  if (quarantine_.Contains(local_run.fingerprint, now)) {
    RespondNotRun(*exchange, outcome::refusal_reason::kQuarantined);
    return;
  }
  const auto remaining = local_run.deadline.ForNextHop(now).RemainingMs(now);
  SetHeader(local_run.extra_headers, kTimeoutHeader, std::to_string(remaining.count()));
  local_run.callbacks.on_response_head = [](http::status_code, http::header_list& headers) {
    SetHeader(headers, kOutcomeHeader, outcome::OutcomeName(outcome::request_outcome::kRan));
  };
  local_run.callbacks.on_done = [exchange](const http::forward_result& result) {
    if (result.responded || result.outcome == http::forward_status::kCallerGone) return;
    if (!result.sent) {
      RespondNotRun(*exchange, outcome::refusal_reason::kNoUpstream);
    } else if (result.outcome == http::forward_status::kTimeout) {
      RespondUnknown(*exchange, 504, "the upstream did not respond in time");
    } else {
      RespondUnknown(*exchange, 502, "the upstream's connection broke");
    }
  };
  local_run.on_refused = [exchange](outcome::refusal_reason reason) {
    RespondNotRun(*exchange, reason);
  };
  local_upstream_.Run(std::move(local_run));
}

void request_router::SubmitClaim(const request_ptr& request) {
  request->claim_attempt = kernel::attempt_id(attempt_prefix_ + std::to_string(next_attempt_++));
  control_client_.Submit(
      control::claim_command{request->claim_key, request->claim_attempt, request->content_digest},
      [this, request](const std::optional<control::outcome>& outcome) {
        const auto* claimed = outcome ? std::get_if<control::claimed_outcome>(&*outcome) : nullptr;
        if (claimed == nullptr) {
          // The claim may still be granted later, so it is released.
          ReleaseClaim(request);
          Refuse(request, outcome::refusal_reason::kClaimUnavailable);
          return;
        }
        OnClaimed(request, claimed->result);
      });
}

void request_router::OnClaimed(const request_ptr& request, const claims::claim_result& result) {
  switch (result.status) {
    case claims::claim_status::kGranted:
      request->claimed = true;
      StartAttempt(request);
      return;
    case claims::claim_status::kHeld:
      RecordOutcome(*request, "unknown");
      RespondUnknown(*request->exchange, 409, "another attempt with this key may be running");
      return;
    case claims::claim_status::kCompleted:
      break;
    case claims::claim_status::kMismatch:
      Refuse(request, outcome::refusal_reason::kKeyMismatch);
      return;
    case claims::claim_status::kFull:
      Refuse(request, outcome::refusal_reason::kClaimUnavailable);
      return;
  }
  std::optional<http::local_response> replay = ReplayOf(*result.response);
  if (!replay) {
    RecordOutcome(*request, "unknown");
    RespondUnknown(*request->exchange, 502, "the recorded response is invalid");
    return;
  }
  RecordOutcome(*request, "replayed");
  request->exchange->Respond(*std::move(replay));
}

void request_router::ReleaseClaim(const request_ptr& request) {
  control_client_.Submit(control::release_command{request->claim_key, request->claim_attempt},
                         [](const auto&) {});
  request->claimed = false;
}

void request_router::CompleteClaim(const request_ptr& request, const http::forward_result& result) {
  if (!request->claimed) return;
  claims::stored_response response;
  response.status = claims::response_status(result.status->value());
  response.content_type = std::string(http::HeaderValue(result.headers, "content-type"));
  response.body_omitted = !result.body_prefix_is_whole;
  if (!response.body_omitted) response.body.bytes = result.body_prefix;
  control_client_.Submit(
      control::complete_command{request->claim_key, request->claim_attempt, std::move(response)},
      [](const auto&) {});
}

void request_router::StartAttempt(const request_ptr& request) {
  const kernel::time_point now = Now();
  if (!request->exchange->open()) {
    if (request->claimed) ReleaseClaim(request);
    return;
  }
  if (request->deadline.HasPassed(now)) {
    Refuse(request, outcome::refusal_reason::kDeadlinePassed);
    return;
  }
  const auto upstream =
      balancer_.Pick(request->service, request->tried_upstreams, now, context_.random);
  if (!upstream) {
    Refuse(request, outcome::refusal_reason::kNoUpstream);
    return;
  }
  ++request->attempt_count;
  request->tried_upstreams.push_back(*upstream);
  balancer_.OnStart(*upstream, now);
  const bool is_local = local_upstream_.record() && local_upstream_.record()->id == *upstream;
  if (is_local) {
    RunLocally(request, *upstream);
  } else {
    ForwardToDaemon(request, *upstream, balancer_.Find(*upstream)->daemon);
  }
}

http::header_list request_router::ExtraHeaders(const routed_request& request) const {
  http::header_list headers;
  const kernel::time_point now = Now();
  const auto remaining = request.deadline.ForNextHop(now).RemainingMs(now);
  SetHeader(headers, kTimeoutHeader, std::to_string(remaining.count()));
  if (request.attempt_count > 1 || request.arrived_as_retry) SetHeader(headers, kRetryHeader, "1");
  return headers;
}

http::forward_callbacks request_router::MakeForwardCallbacks(const request_ptr& request,
                                                             const kernel::upstream_id& upstream) {
  http::forward_callbacks callbacks;
  callbacks.on_response_head = [](http::status_code, http::header_list& headers) {
    if (!http::HeaderValue(headers, kOutcomeHeader).empty()) return;
    SetHeader(headers, kOutcomeHeader, outcome::OutcomeName(outcome::request_outcome::kRan));
  };
  callbacks.on_done = [this, request, upstream](const http::forward_result& result) {
    OnAttemptDone(request, upstream, result);
  };
  if (request->claimed) callbacks.body_prefix_bytes = claims::kMaxBodyBytes;
  return callbacks;
}

void request_router::RunLocally(const request_ptr& request, const kernel::upstream_id& upstream) {
  local_request local_run;
  local_run.exchange = request->exchange;
  local_run.workspace = request->workspace;
  local_run.priority = request->priority;
  local_run.deadline = request->deadline;
  local_run.fingerprint = request->fingerprint;
  local_run.extra_headers = ExtraHeaders(*request);
  local_run.callbacks = MakeForwardCallbacks(request, upstream);
  local_run.on_refused = [this, request, upstream](outcome::refusal_reason reason) {
    OnAttemptRefused(request, upstream, reason);
  };
  local_upstream_.Run(std::move(local_run));
}

void request_router::ForwardToDaemon(const request_ptr& request,
                                     const kernel::upstream_id& upstream,
                                     const kernel::endpoint& daemon) {
  http::header_list headers = ExtraHeaders(*request);
  SetHeader(headers, kHopHeader, "1");
  http::forward_callbacks callbacks = MakeForwardCallbacks(request, upstream);
  callbacks.accept_response = [](http::status_code, const http::header_list& response_headers) {
    return !internal::IsNotRun(response_headers);
  };
  request->exchange->ForwardTo(daemon, headers, request->deadline.Remaining(Now()),
                               std::move(callbacks));
}

void request_router::OnAttemptDone(const request_ptr& request, const kernel::upstream_id& upstream,
                                   const http::forward_result& result) {
  using http::forward_status;
  const auto report_finish = [&](routing::finish_kind kind) {
    balancer_.OnFinish(upstream, kind, result.latency, Now());
  };
  switch (result.outcome) {
    case forward_status::kComplete: {
      const auto outcome_header = http::HeaderValue(result.headers, kOutcomeHeader);
      const bool unknown =
          outcome_header == outcome::OutcomeName(outcome::request_outcome::kUnknown);
      report_finish(result.status->is_server_error() ? routing::finish_kind::kFailure
                                                     : routing::finish_kind::kSuccess);
      RecordOutcome(*request, unknown ? "unknown" : "ran");
      if (!unknown) CompleteClaim(request, result);
      return;
    }
    case forward_status::kDeclined:
      report_finish(routing::finish_kind::kRefused);
      OnAttemptRefused(
          request, kernel::upstream_id(),
          internal::ParseRefusalReason(http::HeaderValue(result.headers, kReasonHeader)));
      return;
    case forward_status::kNotSent:
      report_finish(routing::finish_kind::kUnreachable);
      OnAttemptRefused(request, kernel::upstream_id(), outcome::refusal_reason::kNoUpstream);
      return;
    case forward_status::kBrokenBeforeResponse:
      report_finish(routing::finish_kind::kFailure);
      OnAttemptFailed(request, result.sent, 502, "the upstream's connection broke");
      return;
    case forward_status::kTimeout:
      report_finish(routing::finish_kind::kFailure);
      if (!result.responded) {
        OnAttemptFailed(request, result.sent, 504, "the upstream did not respond in time");
      }
      return;
    case forward_status::kBrokenDuringResponse:
      report_finish(routing::finish_kind::kFailure);
      RecordOutcome(*request, "cut");
      return;
    case forward_status::kCallerGone:
      report_finish(routing::finish_kind::kCancelled);
      if (request->claimed && !result.sent) ReleaseClaim(request);
      RecordOutcome(*request, "caller-gone");
      return;
  }
}

// A non-empty upstream means that the local upstream refused the request. The balancer has not been
// told of that attempt's end yet; for forwarded attempts OnAttemptDone does it.
void request_router::OnAttemptRefused(const request_ptr& request,
                                      const kernel::upstream_id& upstream,
                                      outcome::refusal_reason reason) {
  if (!upstream.value().empty()) {
    balancer_.OnFinish(upstream, routing::finish_kind::kRefused, kernel::microseconds::zero(),
                       Now());
  }
  if (!RetryIfAllowed(request, outcome::request_outcome::kNotRun, reason)) Refuse(request, reason);
}

void request_router::OnAttemptFailed(const request_ptr& request, bool sent,
                                     http::status_code status, const char* reason) {
  const auto request_outcome =
      sent ? outcome::request_outcome::kUnknown : outcome::request_outcome::kNotRun;
  if (RetryIfAllowed(request, request_outcome, std::nullopt)) return;
  if (!sent) {
    Refuse(request, outcome::refusal_reason::kNoUpstream);
    return;
  }
  RecordOutcome(*request, "unknown");
  RespondUnknown(*request->exchange, status, reason);
}

bool request_router::RetryIfAllowed(const request_ptr& request,
                                    outcome::request_outcome request_outcome,
                                    std::optional<outcome::refusal_reason> refusal) {
  if (!request->exchange->open() || !request->exchange->CanRetry()) return false;
  // This reason concerns only the upstream that was tried; others may be available.
  if (refusal == outcome::refusal_reason::kNoUpstream) refusal.reset();
  outcome::attempt_result result;
  result.outcome = request_outcome;
  result.refusal = refusal;
  result.idempotent = request->idempotent;
  result.arrived_as_retry = request->arrived_as_retry;
  result.attempts = request->attempt_count;
  const auto decision =
      outcome::DecideRetry(result, request->deadline, retry_budgets_[request->service], Now());
  if (decision != outcome::retry_decision::kRetry) return false;
  context_.metrics.Counter("cornelweir_retries_total", "Attempts after the first one", {})
      .Increment();
  StartAttempt(request);
  return true;
}

void request_router::Refuse(const request_ptr& request, outcome::refusal_reason reason) {
  if (request->claimed) ReleaseClaim(request);
  RecordOutcome(*request, "not-run");
  RespondNotRun(*request->exchange, reason);
}

void request_router::RecordOutcome(const routed_request& request, std::string_view outcome) {
  metrics::metrics_registry& metrics = context_.metrics;
  metrics
      .Counter("cornelweir_requests_total", "Requests of callers by outcome",
               {{"service", request.service.value()}, {"outcome", std::string(outcome)}})
      .Increment();
  const std::chrono::duration<double> seconds = Now() - request.started_at;
  metrics
      .Histogram("cornelweir_request_seconds", "Time from a request's header to its end",
                 {{"tenant", request.workspace.value()}})
      .Observe(seconds.count());
}

}  // namespace cornelweir::plugins::proxy
