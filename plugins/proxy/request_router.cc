#include "plugins/proxy/request_router.h"

#include <chrono>
#include <optional>
#include <utility>

#include "plugins/proxy/request_headers.h"

namespace cornelweir::plugins::proxy {
namespace internal {

constexpr std::size_t kMaxKeyBytes = 128;

// Reasons of daemons travel as text; one that is not known counts as a full queue, which another
// upstream may accept.
constexpr auto kUnknownRefusal = outcome::refusal_reason::kQueueFull;

outcome::refusal_reason ParseReason(std::string_view text) {
  using outcome::refusal_reason;
  for (const auto reason :
       {refusal_reason::kNoUpstream, refusal_reason::kQueueFull, refusal_reason::kQueueTimeout,
        refusal_reason::kDeadlinePassed, refusal_reason::kTenantLimit,
        refusal_reason::kServiceLimit, refusal_reason::kShuttingDown, refusal_reason::kNotReady}) {
    if (outcome::RefusalText(reason) == text) return reason;
  }
  return kUnknownRefusal;
}

bool IsNotRun(const http::header_list& headers) {
  return http::HeaderValue(headers, kOutcomeHeader) ==
         outcome::OutcomeName(outcome::request_outcome::kNotRun);
}

}  // namespace internal

request_router::request_router(daemon_context& context, control_client& control,
                               subscription& configuration, local_upstream& local,
                               http::connection_pool& pool)
    : context_(context),
      control_(control),
      configuration_(configuration),
      local_(local),
      pool_(pool),
      balancer_(context.settings.failure_domain),
      attempt_prefix_(context.settings.host.value() + "/" +
                      std::to_string(context.random.NextU64()) + "/") {}

void request_router::AddRefusalHeaders(bool sent, http::header_list& headers) {
  const auto known = sent ? outcome::request_outcome::kUnknown : outcome::request_outcome::kNotRun;
  SetHeader(headers, kOutcomeHeader, outcome::OutcomeName(known));
}

void request_router::Configure() {
  const distribution::subscriber& held = configuration_.held();
  routes_ = routing::route_index(held.rows());
  std::vector<routing::upstream_candidate> candidates;
  for (const auto& [id, member] : held.members()) {
    const bool serves = member.state == membership::upstream_state::kReady ||
                        member.state == membership::upstream_state::kDraining;
    if (!serves) continue;
    candidates.push_back({id, member.service, member.subset, member.domain, member.slots,
                          member.incarnation, member.state == membership::upstream_state::kDraining,
                          member.daemon_data});
  }
  balancer_.Update(held.rows(), candidates, Now());
}

void request_router::OnQuarantined(const std::vector<quarantine::quarantined_fingerprint>& list) {
  quarantine_.Replace(list, Now());
}

void request_router::HandleRequest(const http::request_head& head,
                                   const std::shared_ptr<http::exchange>& exchange) {
  if (!head.Header(kHopHeader).empty()) {
    HandleHop(head, exchange);
    return;
  }
  if (draining_ || !configuration_.held().ready()) {
    RefuseNotRun(*exchange, draining_ ? outcome::refusal_reason::kShuttingDown
                                      : outcome::refusal_reason::kNotReady);
    return;
  }
  const routing::route_match* match = routes_.Find(head.target);
  if (match == nullptr) {
    RefuseNotRun(*exchange, outcome::refusal_reason::kNoRoute);
    return;
  }
  auto request = std::make_shared<call>();
  request->exchange = exchange;
  request->route = match->name;
  request->service = match->route.service;
  request->idempotent = match->route.idempotent;
  request->tenant = TenantOf(head);
  request->priority = PriorityOf(head);
  request->started = Now();
  request->deadline =
      DeadlineOf(head, kernel::milliseconds(match->wait.request_ms), request->started);
  request->fingerprint = FingerprintOf(head);
  request->arrived_as_retry = !head.Header(kRetryHeader).empty();
  request->content = ContentOf(head);
  if (quarantine_.Contains(request->fingerprint, request->started)) {
    Refuse(request, outcome::refusal_reason::kQuarantined);
    return;
  }
  budgets_[request->service].OnRequest(request->started);
  if (request->idempotent) {
    Attempt(request);
    return;
  }
  const std::size_t key_bytes = head.Header(kKeyHeader).size();
  if (key_bytes == 0 || key_bytes > internal::kMaxKeyBytes) {
    Refuse(request, outcome::refusal_reason::kKeyMissing);
    return;
  }
  request->key = ClaimKeyOf(head, match->name);
  Claim(request);
}

// A request that another daemon passed on: it runs here or nowhere.
void request_router::HandleHop(const http::request_head& head,
                               const std::shared_ptr<http::exchange>& exchange) {
  const kernel::time_point now = Now();
  local_request run;
  run.exchange = exchange;
  run.tenant = TenantOf(head);
  run.priority = PriorityOf(head);
  run.deadline = DeadlineOf(head, kernel::milliseconds(table::kMaxWaitMs), now);
  run.fingerprint = FingerprintOf(head);
  const auto left = run.deadline.ForNextHop(now).RemainingMs(now);
  SetHeader(run.extra_headers, kTimeoutHeader, std::to_string(left.count()));
  run.callbacks.on_response_head = [](int, http::header_list& headers) {
    SetHeader(headers, kOutcomeHeader, outcome::OutcomeName(outcome::request_outcome::kRan));
  };
  run.callbacks.on_done = [exchange](const http::forward_result& result) {
    if (result.responded || result.outcome == http::forward_status::kCallerGone) return;
    if (!result.sent) {
      RefuseNotRun(*exchange, outcome::refusal_reason::kNoUpstream);
    } else if (result.outcome == http::forward_status::kTimeout) {
      AnswerUnknown(*exchange, 504, "the upstream did not respond in time");
    } else {
      AnswerUnknown(*exchange, 502, "the upstream's connection broke");
    }
  };
  run.refused = [exchange](outcome::refusal_reason reason) { RefuseNotRun(*exchange, reason); };
  local_.Run(std::move(run));
}

void request_router::Claim(const call_ptr& request) {
  request->attempt = kernel::attempt_id(attempt_prefix_ + std::to_string(next_attempt_++));
  control_.Submit(control::claim_command{request->key, request->attempt, request->content},
                  [this, request](const std::optional<control::outcome>& outcome) {
                    const auto* claimed =
                        outcome ? std::get_if<control::claimed_outcome>(&*outcome) : nullptr;
                    if (claimed == nullptr) {
                      // The claim may still be granted later, so it is given back.
                      ReleaseClaim(request);
                      Refuse(request, outcome::refusal_reason::kClaimUnavailable);
                      return;
                    }
                    OnClaimed(request, claimed->result);
                  });
}

void request_router::OnClaimed(const call_ptr& request, const claims::claim_result& result) {
  switch (result.status) {
    case claims::claim_status::kGranted:
      request->claimed = true;
      Attempt(request);
      return;
    case claims::claim_status::kHeld:
      Count(*request, "unknown");
      AnswerUnknown(*request->exchange, 409, "another attempt with this key may be running");
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
  Count(*request, "replayed");
  http::local_response stored;
  const claims::stored_response& first = *result.response;
  stored.status = first.status.value();
  stored.body = first.body.bytes;
  SetHeader(stored.headers, "content-type", first.content_type);
  SetHeader(stored.headers, kOutcomeHeader, outcome::OutcomeName(outcome::request_outcome::kRan));
  SetHeader(stored.headers, kReplayedHeader, first.body_omitted ? "body-omitted" : "true");
  request->exchange->Respond(std::move(stored));
}

void request_router::ReleaseClaim(const call_ptr& request) {
  control_.Submit(control::release_command{request->key, request->attempt}, [](const auto&) {});
  request->claimed = false;
}

void request_router::CompleteClaim(const call_ptr& request, const http::forward_result& result) {
  if (!request->claimed) return;
  claims::stored_response response;
  response.status = claims::response_status(result.status);
  response.content_type = std::string(http::HeaderValue(result.headers, "content-type"));
  response.body_omitted = !result.body_prefix_is_whole;
  if (!response.body_omitted) response.body.bytes = result.body_prefix;
  control_.Submit(control::complete_command{request->key, request->attempt, std::move(response)},
                  [](const auto&) {});
}

void request_router::Attempt(const call_ptr& request) {
  const kernel::time_point now = Now();
  if (!request->exchange->open()) {
    if (request->claimed) ReleaseClaim(request);
    return;
  }
  if (request->deadline.HasPassed(now)) {
    Refuse(request, outcome::refusal_reason::kDeadlinePassed);
    return;
  }
  const auto upstream = balancer_.Pick(request->service, request->tried, now, context_.random);
  if (!upstream) {
    Refuse(request, outcome::refusal_reason::kNoUpstream);
    return;
  }
  ++request->attempts;
  request->tried.push_back(*upstream);
  balancer_.OnStart(*upstream, now);
  const bool here = local_.record() && local_.record()->id == *upstream;
  if (here) {
    RunHere(request, *upstream);
  } else {
    PassOn(request, *upstream, balancer_.Find(*upstream)->daemon);
  }
}

http::header_list request_router::ExtraHeaders(const call& request) const {
  http::header_list headers;
  const kernel::time_point now = Now();
  const auto left = request.deadline.ForNextHop(now).RemainingMs(now);
  SetHeader(headers, kTimeoutHeader, std::to_string(left.count()));
  if (request.attempts > 1 || request.arrived_as_retry) SetHeader(headers, kRetryHeader, "1");
  return headers;
}

http::forward_callbacks request_router::Callbacks(const call_ptr& request,
                                                  const kernel::upstream_id& upstream) {
  http::forward_callbacks callbacks;
  callbacks.on_response_head = [](int, http::header_list& headers) {
    if (!http::HeaderValue(headers, kOutcomeHeader).empty()) return;
    SetHeader(headers, kOutcomeHeader, outcome::OutcomeName(outcome::request_outcome::kRan));
  };
  callbacks.on_done = [this, request, upstream](const http::forward_result& result) {
    OnDone(request, upstream, result);
  };
  if (request->claimed) callbacks.body_prefix_bytes = claims::kMaxBodyBytes;
  return callbacks;
}

void request_router::RunHere(const call_ptr& request, const kernel::upstream_id& upstream) {
  local_request run;
  run.exchange = request->exchange;
  run.tenant = request->tenant;
  run.priority = request->priority;
  run.deadline = request->deadline;
  run.fingerprint = request->fingerprint;
  run.extra_headers = ExtraHeaders(*request);
  run.callbacks = Callbacks(request, upstream);
  run.refused = [this, request, upstream](outcome::refusal_reason reason) {
    OnNotRun(request, upstream, reason);
  };
  local_.Run(std::move(run));
}

void request_router::PassOn(const call_ptr& request, const kernel::upstream_id& upstream,
                            const kernel::endpoint& daemon) {
  http::header_list headers = ExtraHeaders(*request);
  SetHeader(headers, kHopHeader, "1");
  http::forward_callbacks callbacks = Callbacks(request, upstream);
  callbacks.accept_response = [](int, const http::header_list& answered) {
    return !internal::IsNotRun(answered);
  };
  request->exchange->ForwardTo(daemon, headers, request->deadline.Remaining(Now()),
                               std::move(callbacks));
}

void request_router::OnDone(const call_ptr& request, const kernel::upstream_id& upstream,
                            const http::forward_result& result) {
  using http::forward_status;
  const auto finish = [&](routing::finish_kind kind) {
    balancer_.OnFinish(upstream, kind, result.latency, Now());
  };
  switch (result.outcome) {
    case forward_status::kComplete: {
      const auto known = http::HeaderValue(result.headers, kOutcomeHeader);
      const bool unknown = known == outcome::OutcomeName(outcome::request_outcome::kUnknown);
      finish(result.status >= 500 ? routing::finish_kind::kFailure
                                  : routing::finish_kind::kSuccess);
      Count(*request, unknown ? "unknown" : "ran");
      if (!unknown) CompleteClaim(request, result);
      return;
    }
    case forward_status::kDeclined:
      finish(routing::finish_kind::kRefused);
      OnNotRun(request, kernel::upstream_id(),
               internal::ParseReason(http::HeaderValue(result.headers, kReasonHeader)));
      return;
    case forward_status::kNotSent:
      finish(routing::finish_kind::kUnreachable);
      OnNotRun(request, kernel::upstream_id(), outcome::refusal_reason::kNoUpstream);
      return;
    case forward_status::kBrokenBeforeResponse:
      finish(routing::finish_kind::kFailure);
      OnLost(request, result.sent, 502, "the upstream's connection broke");
      return;
    case forward_status::kTimeout:
      finish(routing::finish_kind::kFailure);
      if (!result.responded) {
        OnLost(request, result.sent, 504, "the upstream did not respond in time");
      }
      return;
    case forward_status::kBrokenDuringResponse:
      finish(routing::finish_kind::kFailure);
      Count(*request, "cut");
      return;
    case forward_status::kCallerGone:
      finish(routing::finish_kind::kCancelled);
      if (request->claimed && !result.sent) ReleaseClaim(request);
      Count(*request, "caller-gone");
      return;
  }
}

// An upstream id tells that the attempt ended before it was passed on, so the balancer has not
// heard of its end.
void request_router::OnNotRun(const call_ptr& request, const kernel::upstream_id& upstream,
                              outcome::refusal_reason reason) {
  if (!upstream.value().empty()) {
    balancer_.OnFinish(upstream, routing::finish_kind::kRefused, kernel::microseconds::zero(),
                       Now());
  }
  if (!Retry(request, outcome::request_outcome::kNotRun, reason)) Refuse(request, reason);
}

void request_router::OnLost(const call_ptr& request, bool sent, int status, const char* reason) {
  const auto known = sent ? outcome::request_outcome::kUnknown : outcome::request_outcome::kNotRun;
  if (Retry(request, known, std::nullopt)) return;
  if (!sent) {
    Refuse(request, outcome::refusal_reason::kNoUpstream);
    return;
  }
  Count(*request, "unknown");
  AnswerUnknown(*request->exchange, status, reason);
}

bool request_router::Retry(const call_ptr& request, outcome::request_outcome known,
                           std::optional<outcome::refusal_reason> refusal) {
  if (!request->exchange->open() || !request->exchange->CanRetry()) return false;
  // The daemon beside an upstream speaks for that upstream only; others may be up.
  if (refusal == outcome::refusal_reason::kNoUpstream) refusal.reset();
  outcome::attempt_result result;
  result.outcome = known;
  result.refusal = refusal;
  result.idempotent = request->idempotent;
  result.arrived_as_retry = request->arrived_as_retry;
  result.attempts = request->attempts;
  const auto decision =
      outcome::DecideRetry(result, request->deadline, budgets_[request->service], Now());
  if (decision != outcome::retry_decision::kRetry) return false;
  context_.metrics.Counter("cornelweir_retries_total", "Attempts after the first one", {})
      .Increment();
  Attempt(request);
  return true;
}

void request_router::Refuse(const call_ptr& request, outcome::refusal_reason reason) {
  if (request->claimed) ReleaseClaim(request);
  Count(*request, "not-run");
  RefuseNotRun(*request->exchange, reason);
}

void request_router::Count(const call& request, std::string_view outcome) {
  metrics::metrics_registry& metrics = context_.metrics;
  metrics
      .Counter("cornelweir_requests_total", "Requests of callers by outcome",
               {{"service", request.service.value()}, {"outcome", std::string(outcome)}})
      .Increment();
  const std::chrono::duration<double> seconds = Now() - request.started;
  metrics
      .Histogram("cornelweir_request_seconds", "Time from a request's header to its end",
                 {{"tenant", request.tenant.value()}})
      .Observe(seconds.count());
}

}  // namespace cornelweir::plugins::proxy
