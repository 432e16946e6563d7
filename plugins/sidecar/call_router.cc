#include "plugins/sidecar/call_router.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "cornelweir/logging.h"
#include "plugins/sidecar/call_router_state.h"

namespace cornelweir::plugins::sidecar {
namespace internal {

// Refusals by daemons after which the caller is told to retry later. A refusal costs no upstream
// capacity, but delays the caller.
constexpr std::size_t kMaxRefusals = 3;
// A request is resent only if at least this percentage of the route's latency objective is left.
constexpr std::int64_t kMinTimeLeftPercent = 50;
// Retry delay when the wait for capacity is unknown.
constexpr kernel::milliseconds kDefaultRetryAfter{100};
// Bounds of the retry delay sent to callers.
constexpr kernel::milliseconds kMaxRetryAfter{1'000};
constexpr kernel::milliseconds kMinRetryAfter{20};
// Time after the daemon's start within which its policy and peers usually arrive.
constexpr kernel::milliseconds kStartupTime{3'000};
// A request waits for them for at most this time and this fraction of its caller's timeout.
constexpr kernel::milliseconds kMaxStartupWait{600};
constexpr std::int64_t kStartupWaitDivisor = 3;
constexpr kernel::milliseconds kDeferredCheckPeriod{10};
// Assumed for callers that state no timeout.
constexpr kernel::milliseconds kDefaultCallerTimeout{1'000};
// The part of its latency objective that a request needs after it has a token, while no upstream of
// its service has reported a run time.
constexpr std::int64_t kUnknownRunTimeDivisor = 2;
// A request waits at least this long, since a grant may take that time while the processes get no
// processor time.
constexpr kernel::milliseconds kMinTokenWait{100};
// The least retry delay sent to callers whose quota is used up. The next token may be due sooner,
// but others wait for it, too.
constexpr kernel::milliseconds kMinQuotaRetryAfter{100};

}  // namespace internal

call_router::call_router(daemon_context& context, const dialect_functions& dialect, peer_set& peers,
                         upstream_dispatcher& dispatcher, quota_client& quota)
    : context_(context),
      dialect_(dialect),
      peers_(peers),
      dispatcher_(dispatcher),
      quota_(quota),
      key_hash_seed_(context.random.NextU64()),
      metrics_(context.metrics),
      room_(context.memory, memory::memory_use::kCallerResponses),
      deferred_timer_(context.loop),
      started_at_(context.clock.Now()) {}

// The time by which a response meets the route's latency objective, which counts from the caller's
// first attempt. A retry has a shorter timeout; the difference is the time that has passed.
kernel::time_point call_router::ComputeObjective(const request_state& state) {
  kernel::time_point objective = state.started_at + state.route->latency_objective;
  if (state.decoded.time_left) {
    kernel::milliseconds& longest = longest_timeouts_[policy::KeyOf(*state.route)];
    longest = std::max(longest, *state.decoded.time_left);
    objective -= longest - *state.decoded.time_left;
  }
  return std::min(objective, state.deadline);
}

void call_router::SetPolicy(std::shared_ptr<const policy::policy_table> table) {
  resolver_.emplace(std::move(table), key_hash_seed_);
  // Selectors with unchanged weights keep their position.
  std::map<policy::route_key, routing::weighted_round_robin> updated_selectors;
  for (const policy::route& route : resolver_->table()->routes) {
    if (route.split.empty()) continue;
    std::vector<std::int64_t> weights;
    for (const policy::split_part& part : route.split) weights.push_back(part.weight.value());
    const auto found = split_selectors_.find(policy::KeyOf(route));
    if (found != split_selectors_.end() && found->second.weights() == weights) {
      updated_selectors.insert(std::move(*found));
    } else {
      updated_selectors.emplace(
          policy::KeyOf(route),
          routing::weighted_round_robin(std::move(weights), context_.random.NextU64()));
    }
  }
  split_selectors_ = std::move(updated_selectors);
}

const kernel::service_name& call_router::SelectService(const policy::route& route) {
  if (route.split.empty()) return route.service;
  return route.split[split_selectors_.at(policy::KeyOf(route)).Next()].service;
}

outcome::shared_retry_budget& call_router::RetryBudget(const kernel::service_name& service) {
  const auto& settings = *context_.settings.sidecar;
  return retry_budgets_
      .try_emplace(service, outcome::retry_limits{settings.retry_ratio, settings.retry_slack,
                                                  kernel::milliseconds(settings.retry_window_ms)})
      .first->second;
}

void call_router::Handle(const std::shared_ptr<http::pipeline_request>& request) {
  auto decoded = dialect_.decode_call(std::move(request->message));
  if (auto* refusal = std::get_if<http::whole_response>(&decoded)) {
    request->Respond(std::move(*refusal));
    return;
  }
  auto created = std::make_shared<request_state>(context_.loop);
  created->request = request;
  created->decoded = std::move(std::get<call>(decoded));
  created->body = std::make_shared<const std::string>(std::move(created->decoded.body));
  created->started_at = dispatcher_.backlog().Arrival();
  created->repeated_share = dispatcher_.RepeatedShare();
  const kernel::microseconds caller_timeout =
      created->decoded.time_left.value_or(internal::kDefaultCallerTimeout);
  created->deadline = created->started_at + caller_timeout;
  created->deferred_until =
      created->started_at + std::min(caller_timeout / internal::kStartupWaitDivisor,
                                     kernel::microseconds(internal::kMaxStartupWait));
  open_.insert(created);
  last_request_at_ = Now();
  std::weak_ptr<request_state> weak = created;
  request->OnCallerGone([this, weak] {
    if (const auto abandoned = weak.lock()) OnCallerGone(abandoned);
  });
  RouteRequest(created);
}

// Finds the route and workspace of a request by the policy in force. Rejects the request and
// returns false if there is no route, or no key where one is needed.
bool call_router::ResolveRequest(const request_state_ptr& state) {
  using kind = policy::resolved_request::kind;
  state->policy = resolver_->table();
  std::string_view path = state->decoded.target;
  path = path.substr(0, path.find('?'));
  const policy::resolved_request resolved =
      resolver_->Resolve(state->decoded.host, path, state->decoded.key.value());
  if (!resolver_->table()->workspaces.empty() && !state->decoded.key.value().empty() &&
      !KeysAreCurrent()) {
    Refuse(state, kernel::microseconds(internal::kMaxRetryAfter), "keys not confirmed");
    return false;
  }
  if (resolved.outcome == kind::kUnauthenticated) {
    Reply(state, reply_kind::kUnauthenticated, {}, "no valid key");
    return false;
  }
  if (resolved.outcome == kind::kNoRoute) {
    Reply(state, reply_kind::kNoRoute, {}, "no route");
    return false;
  }
  state->route = resolved.route;
  state->priority = resolved.priority();
  if (resolved.workspace != nullptr) {
    state->workspace = resolved.workspace->name;
    state->limited = resolved.workspace->HasQuota();
  }
  const call& decoded = state->decoded;
  state->fingerprint = quarantine::FingerprintOf(
      {state->workspace.value(), decoded.method, decoded.host, decoded.target, *state->body});
  return true;
}

// With strict revocation, a policy that no control host has confirmed recently may hold keys that
// were withdrawn.
bool call_router::KeysAreCurrent() const {
  const settings::sidecar_settings& settings = *context_.settings.sidecar;
  return !settings.strict_key_revocation || Now() - policy_confirmed_at_ < settings.max_policy_age;
}

void call_router::RouteRequest(const request_state_ptr& state) {
  if (!resolver_) {
    if (Defer(state)) return;
    Refuse(state, kernel::microseconds(internal::kMaxRetryAfter), "no policy");
    return;
  }
  if (!ResolveRequest(state)) return;
  const policy::route& route = *state->route;
  state->deadline =
      state->started_at + std::min(state->decoded.time_left.value_or(route.timeout), route.timeout);
  if (!FitsBeforeStop(state)) return;
  state->objective_deadline = ComputeObjective(*state);
  state->service = SelectService(route);
  std::weak_ptr<request_state> weak = state;
  state->deadline_timer.Start(std::max(state->deadline - Now(), kernel::microseconds(1)),
                              [this, weak] {
                                if (const auto late = weak.lock()) OnDeadline(late);
                              });
  if (!RefuseIfQuarantined(state)) AcquireToken(state);
}

// Sends the request on once the quota of its workspace admits it. It waits for a token as long as
// its response can be expected to meet the latency objective.
void call_router::AcquireToken(const request_state_ptr& state) {
  if (!state->limited) {
    OnQuotaDecision(state, {quota_client::outcome::kAdmitted, {}, {}});
    return;
  }
  kernel::microseconds run_time = peers_.UsualRunTime(state->service);
  if (run_time == kernel::microseconds::zero()) {
    run_time = state->route->latency_objective / internal::kUnknownRunTimeDivisor;
  }
  const kernel::microseconds max_wait = std::max<kernel::microseconds>(
      state->objective_deadline - Now() - run_time, internal::kMinTokenWait);
  quota_.Admit(state->workspace, max_wait, [this, state](const quota_client::admission& decided) {
    OnQuotaDecision(state, decided);
  });
}

void call_router::OnQuotaDecision(const request_state_ptr& state,
                                  const quota_client::admission& decided) {
  switch (decided.result) {
    case quota_client::outcome::kAdmitted:
      if (state->limited) state->token_expires_at = decided.expires_at;
      if (state->finished) return ReturnToken(state);
      RetryBudget(state->service).OnRequest(state->started_at);
      SendToPeer(state);
      return;
    case quota_client::outcome::kQuotaExceeded:
      Reply(state, reply_kind::kQuotaExceeded,
            std::max(std::chrono::ceil<kernel::milliseconds>(decided.retry_after),
                     internal::kMinQuotaRetryAfter),
            "quota exceeded");
      return;
    case quota_client::outcome::kNoAnswer:
      Refuse(state, kernel::microseconds::zero(), "no token in time");
      return;
  }
}

// Gives the token of a request that did not run to another request.
void call_router::ReturnToken(const request_state_ptr& state) {
  if (!state->token_expires_at) return;
  quota_.Return(state->workspace, *std::exchange(state->token_expires_at, std::nullopt));
}

// Queues a request shortly after the daemon's start, when the missing policy or upstream is
// expected soon and a refused caller might retry too early or too late. Returns false if the
// request or the daemon has waited long enough.
bool call_router::Defer(const request_state_ptr& state) {
  const kernel::time_point now = Now();
  if (now >= state->deferred_until || now - started_at_ >= internal::kStartupTime) return false;
  QueueDeferred(state);
  return true;
}

void call_router::QueueDeferred(const request_state_ptr& state) {
  deferred_.push_back(state);
  if (deferred_timer_.running()) return;
  deferred_timer_.StartPeriodic(internal::kDeferredCheckPeriod, [this] { RetryDeferred(); });
}

void call_router::RetryDeferred() {
  for (const request_state_ptr& waiting : std::exchange(deferred_, {})) {
    if (waiting->finished) continue;
    if (waiting->route == nullptr) {
      RouteRequest(waiting);
    } else {
      SendToPeer(waiting);
    }
  }
  if (deferred_.empty()) deferred_timer_.Cancel();
}

void call_router::SendToPeer(const request_state_ptr& state) {
  // A request that was read after a pause of this process may be overdue. Its caller has given up.
  if (Now() >= state->deadline) {
    Refuse(state, kernel::microseconds::zero(), "deadline has passed");
    return;
  }
  if (RefuseIfQuarantined(state)) return;
  // The caller may have disconnected during the pause.
  if (dispatcher_.backlog().IsUnread()) return QueueDeferred(state);
  const bool large = state->route->retry_safety == policy::retry_safety::kDownload;
  const std::shared_ptr<peer> chosen =
      peers_.Choose({state->service, state->tried_peers, large, state->body->size(),
                     state->route->name, state->objective_deadline - Now()});
  if (chosen == nullptr) {
    if (state->tried_peers.empty() && Defer(state)) return;
    Refuse(state, kernel::microseconds::zero(),
           state->tried_peers.empty() ? "no upstream" : "no other upstream");
    return;
  }
  if (!ReserveResponse(state, *chosen)) return;
  const kernel::time_point now = Now();
  const policy::route& route = *state->route;
  state->current_peer = chosen;
  state->tried_peers.push_back(chosen);
  protocol::run_request run;
  run.service = state->service;
  run.caller = dispatcher_.service();
  run.workspace = state->workspace;
  run.method = state->decoded.method;
  run.target = state->decoded.target;
  run.headers = state->decoded.headers;
  run.retry_safety = route.retry_safety;
  run.priority = state->priority;
  run.time_left = state->deadline - now;
  run.route = route.name;
  run.objective_left = state->objective_deadline - now;
  run.repeated = state->sent_count > 0;
  run.fingerprint = state->fingerprint;
  if (nested_routes_.contains(route.name)) {
    // Priorities of routes do not compare callers, those of workspaces do.
    if (!state->policy->workspaces.empty()) run.parent = dispatcher_.RankOfCalls();
    if (state->tried_peers.size() == 1) dispatcher_.OnCallOfUpstream(state->service);
  }
  run.has_alternative = state->refusals + 1 < internal::kMaxRefusals &&
                        peers_.HasOther(state->service, state->tried_peers);
  state->run_id = chosen->Run(std::move(run), state->body, [this, state](run_result result) {
    OnResult(state, std::move(result));
  });
}

void call_router::OnResult(const request_state_ptr& state, run_result result) {
  if (state->finished) return;
  state->current_peer = nullptr;
  RecordNesting(*state, result);
  CountIndirectRetry(*state, result);
  if (quarantine_ != nullptr) {
    quarantine_->Learn({state->fingerprint, state->service, result.quarantined_for});
  }
  if (result.response) {
    ++state->sent_count;
    state->may_have_run = true;
    if (AdmitResponse(state, *result.response)) OnResponse(state, *std::move(result.response));
    return;
  }
  switch (result.failure) {
    case protocol::run_failure::kNoUpstream:
    case protocol::run_failure::kNoCapacity:
      OnNotRun(state, result);
      return;
    case protocol::run_failure::kRejected:
      ++state->sent_count;
      if (CanResend(state)) return Resend(state, "rejected by the upstream");
      Refuse(state, result.retry_after, "rejected by the upstream");
      return;
    case protocol::run_failure::kUpstreamError:
      ++state->sent_count;
      state->may_have_run = true;
      // The links of the others are as full, and its run there would be as much in vain.
      if (result.response_dropped) {
        return Refuse(state, result.retry_after, "response dropped by its daemon");
      }
      if (policy::IsIdempotent(state->route->retry_safety) && CanResend(state)) {
        return Resend(state, "upstream connection failed");
      }
      Reply(state, reply_kind::kUpstreamFailed, {}, "upstream connection failed");
      return;
    case protocol::run_failure::kTimeout:
      Reply(state, reply_kind::kTimeout, {}, "no response in time");
      return;
  }
}

// Only a result that the other daemon sent tells whether the route is nested.
void call_router::RecordNesting(const request_state& state, const run_result& result) {
  if (result.nested) {
    nested_routes_.insert(state.route->name);
  } else if (result.response) {
    nested_routes_.erase(state.route->name);
  }
}

// Counts the first arrival of a call at an upstream as a retry if the call was made by a retry.
// Later arrivals are counted when they are sent.
void call_router::CountIndirectRetry(const request_state& state, const run_result& result) {
  const bool arrived = result.response || (result.failure != protocol::run_failure::kNoUpstream &&
                                           result.failure != protocol::run_failure::kNoCapacity);
  if (!arrived || state.sent_count > 0 || !result.nested) return;
  RetryBudget(state.service).OnIndirectRetry(state.repeated_share, Now());
}

void call_router::OnResponse(const request_state_ptr& state, http::whole_response response) {
  const bool failed = response.status.is_server_error();
  if (failed && policy::IsIdempotent(state->route->retry_safety) && CanResend(state)) {
    state->failed_response = std::move(response);
    return Resend(state, "upstream returned a server error");
  }
  Respond(state, std::move(response), failed ? "upstream-failed" : "ran");
}

// A request that reached an upstream is resent only within the route's attempts, the service's
// retry budget and the remaining time.
bool call_router::CanResend(const request_state_ptr& state) {
  if (IsQuarantined(*state)) return false;
  if (state->sent_count >= state->route->attempts) return false;
  const kernel::microseconds left = state->deadline - Now();
  if (left < state->route->latency_objective * internal::kMinTimeLeftPercent / 100) return false;
  if (!peers_.HasOther(state->service, state->tried_peers)) return false;
  return RetryBudget(state->service).TryRetry(peers_.size(), Now());
}

void call_router::Resend(const request_state_ptr& state, std::string_view reason) {
  logging::event(logging::event_id::kRequestSentAgain)
      .With("request", state->decoded.request_id)
      .With("fingerprint", state->fingerprint)
      .With("service", state->service)
      .With("reason", reason)
      .With("sent", state->sent_count);
  context_.metrics
      .Counter("cornelweir_resends_total", "Requests that were sent to another upstream",
               {{"service", state->service.value()}})
      .Increment();
  SendToPeer(state);
}

// The request did not reach an upstream, so sending it to another daemon uses no retry budget.
void call_router::OnNotRun(const request_state_ptr& state, const run_result& result) {
  if (RefuseIfQuarantined(state)) return;
  const bool no_capacity = result.failure == protocol::run_failure::kNoCapacity;
  if (++state->refusals < internal::kMaxRefusals && Now() < state->deadline &&
      peers_.HasOther(state->service, state->tried_peers)) {
    SendToPeer(state);
    return;
  }
  Refuse(state, result.retry_after, no_capacity ? "no free slot" : "upstream not available");
}

void call_router::OnDeadline(const request_state_ptr& state) {
  if (state->finished) return;
  if (state->current_peer != nullptr) state->current_peer->Cancel(state->run_id);
  state->current_peer = nullptr;
  Reply(state, reply_kind::kTimeout, {}, "no response in time");
}

void call_router::OnCallerGone(const request_state_ptr& state) {
  if (state->finished) return;
  MarkFinished(state);
  if (state->current_peer != nullptr) {
    state->current_peer->Cancel(state->run_id);
  } else if (!state->may_have_run) {
    ReturnToken(state);
  }
  logging::event(logging::event_id::kRequestEnded)
      .With("request", state->decoded.request_id)
      .With("outcome", "caller-gone")
      .With("ms", kernel::ToMilliseconds(Now() - state->started_at).count());
}

// Callers honour a retry delay of up to a third of their remaining time.
void call_router::Refuse(const request_state_ptr& state, kernel::microseconds retry_after,
                         std::string_view reason) {
  if (state->failed_response) {
    return Respond(state, *std::move(state->failed_response), "upstream-failed");
  }
  kernel::milliseconds delay =
      std::max(kernel::ToMilliseconds(retry_after), internal::kMinRetryAfter);
  if (retry_after == kernel::microseconds::zero()) delay = internal::kDefaultRetryAfter;
  const kernel::milliseconds left = kernel::ToMilliseconds(state->deadline - Now());
  const kernel::milliseconds longest =
      std::min(internal::kMaxRetryAfter, std::max(left * 3 / 10, internal::kMinRetryAfter));
  delay = std::max(std::min(delay, longest * 2 / 3), internal::kMinRetryAfter);
  // Callers that were refused together would be refused together again.
  delay += kernel::milliseconds(
      kernel::UniformBelow(context_.random, static_cast<std::uint64_t>(delay.count() / 2 + 1)));
  Reply(state, state->may_have_run ? reply_kind::kUpstreamFailed : reply_kind::kNotRun, delay,
        reason);
}

void call_router::Reply(const request_state_ptr& state, reply_kind kind,
                        kernel::milliseconds retry_after, std::string_view reason) {
  if (kind == reply_kind::kNotRun) ReturnToken(state);
  Respond(state, dialect_.reply(state->decoded, kind, retry_after, reason), reason);
}

void call_router::MarkFinished(const request_state_ptr& state) {
  state->finished = true;
  state->reservation.reset();
  open_.erase(state);
  state->deadline_timer.Cancel();
}

void call_router::Respond(const request_state_ptr& state, http::whole_response response,
                          std::string_view outcome) {
  if (state->finished) return;
  MarkFinished(state);
  const kernel::microseconds took = Now() - state->started_at;
  logging::event(logging::event_id::kRequestEnded)
      .With("request", state->decoded.request_id)
      .With("fingerprint", state->fingerprint)
      .With("route", state->route != nullptr ? state->route->name.value() : std::string())
      .With("policy", state->policy ? state->policy->version : kernel::policy_version())
      .With("upstream_daemon", state->tried_peers.empty()
                                   ? std::string()
                                   : state->tried_peers.back()->entry().daemon.value())
      .With("status", response.status.value())
      .With("outcome", outcome)
      .With("refusals", state->refusals)
      .With("sent", state->sent_count)
      .With("ms", kernel::ToMilliseconds(took).count());
  metrics_.Observe(state->service, outcome, took);
  state->request->Respond(std::move(response));
}

}  // namespace cornelweir::plugins::sidecar
