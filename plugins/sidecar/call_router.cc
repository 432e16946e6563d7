#include "plugins/sidecar/call_router.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "cornelweir/logging.h"

namespace cornelweir::plugins::sidecar {
namespace internal {

// Daemons that may refuse one request before its caller is told to come back. A refusal costs the
// upstreams nothing, but each one costs the caller time.
constexpr std::size_t kMaxRefusals = 3;
// A request is sent again only with at least this part of a usual response time left.
constexpr std::int64_t kLeastTimePercent = 50;
// When to come back if nothing is known about when there will be room.
constexpr kernel::milliseconds kDefaultRetryAfter{100};
// The longest and the shortest time that a caller is told to stay away.
constexpr kernel::milliseconds kMaxRetryAfter{1'000};
constexpr kernel::milliseconds kMinRetryAfter{20};
constexpr int kFirstServerError = 500;
// For so long after its start a daemon expects its policy and its peers any moment.
constexpr kernel::milliseconds kStartupTime{3'000};
// The longest time that a request waits for them, and the part of its caller's time.
constexpr kernel::milliseconds kMaxStartupWait{600};
constexpr std::int64_t kStartupWaitDivisor = 3;
constexpr kernel::milliseconds kParkedCheckPeriod{10};
// A caller that does not say how long it waits.
constexpr kernel::milliseconds kAssumedPatience{1'000};

}  // namespace internal

// A request of a caller until it is answered.
struct call_router::state {
  explicit state(loop::event_loop& loop) : timer(loop) {}

  std::shared_ptr<http::pipeline_request> request;
  call decoded;
  // Valid as long as the policy, which is kept with it.
  std::shared_ptr<const policy::policy_table> policy;
  const policy::route* route = nullptr;
  kernel::service_name service;
  kernel::time_point started;
  kernel::time_point deadline;
  kernel::time_point objective;
  // Until when it may wait for the daemon to learn what it needs.
  kernel::time_point parked_until;
  loop::timer timer;
  // Where it is now.
  std::shared_ptr<peer> at;
  kernel::call_id run;
  std::vector<std::shared_ptr<peer>> tried;
  std::size_t refusals = 0;
  // Upstreams that may have got it.
  std::int32_t sent = 0;
  // Whether one of them may have run it.
  bool may_have_run = false;
  // The failure that an upstream answered before it was sent again.
  std::optional<http::whole_response> failure;
  bool over = false;
};

call_router::call_router(daemon_context& context, const dialect_functions& dialect, peer_set& peers,
                         const upstream_gate& gate)
    : context_(context),
      dialect_(dialect),
      peers_(peers),
      gate_(gate),
      parked_timer_(context.loop),
      started_at_(context.clock.Now()) {}

// When a response is worth its full credit. The time counts from the caller's first attempt, and a
// caller that comes back has as much less time left as it has lost.
kernel::time_point call_router::ObjectiveOf(const state& of) {
  kernel::time_point objective = of.started + of.route->latency_objective;
  if (of.decoded.time_left) {
    kernel::milliseconds& longest = patience_[policy::KeyOf(*of.route)];
    longest = std::max(longest, *of.decoded.time_left);
    objective -= longest - *of.decoded.time_left;
  }
  return std::min(objective, of.deadline);
}

void call_router::SetPolicy(std::shared_ptr<const policy::policy_table> table) {
  policy_ = std::move(table);
  routes_ = policy::route_index(*policy_);
  // Orders whose weights did not change go on where they are.
  std::map<policy::route_key, routing::weighted_round_robin> kept;
  for (const policy::route& listed : policy_->routes) {
    if (listed.split.empty()) continue;
    std::vector<std::int64_t> weights;
    for (const policy::split_part& part : listed.split) weights.push_back(part.weight.value());
    const auto found = splits_.find(policy::KeyOf(listed));
    if (found != splits_.end() && found->second.weights() == weights) {
      kept.insert(std::move(*found));
    } else {
      kept.emplace(policy::KeyOf(listed),
                   routing::weighted_round_robin(std::move(weights), context_.random.NextU64()));
    }
  }
  splits_ = std::move(kept);
}

const kernel::service_name& call_router::ServiceFor(const policy::route& route) {
  if (route.split.empty()) return route.service;
  return route.split[splits_.at(policy::KeyOf(route)).Next()].service;
}

outcome::shared_retry_budget& call_router::BudgetOf(const kernel::service_name& service) {
  const auto& settings = *context_.settings.sidecar;
  return budgets_
      .try_emplace(service, outcome::retry_limits{settings.retry_ratio,
                                                  static_cast<double>(settings.retry_slack),
                                                  kernel::milliseconds(settings.retry_window_ms)})
      .first->second;
}

void call_router::Handle(const std::shared_ptr<http::pipeline_request>& request) {
  auto decoded = dialect_.decode_call(std::move(request->message));
  if (auto* refusal = std::get_if<http::whole_response>(&decoded)) {
    request->Respond(std::move(*refusal));
    return;
  }
  auto created = std::make_shared<state>(context_.loop);
  created->request = request;
  created->decoded = std::move(std::get<call>(decoded));
  created->started = Now();
  const kernel::microseconds patience =
      created->decoded.time_left.value_or(internal::kAssumedPatience);
  created->deadline = created->started + patience;
  created->parked_until =
      created->started + std::min(patience / internal::kStartupWaitDivisor,
                                  kernel::microseconds(internal::kMaxStartupWait));
  ++in_progress_;
  std::weak_ptr<state> weak = created;
  request->OnCallerGone([this, weak] {
    if (const auto abandoned = weak.lock()) OnGone(abandoned);
  });
  Begin(created);
}

void call_router::Begin(const state_ptr& created) {
  if (!policy_) {
    if (Park(created)) return;
    Refuse(created, kernel::microseconds(internal::kMaxRetryAfter), "no policy");
    return;
  }
  created->policy = policy_;
  std::string_view path = created->decoded.target;
  path = path.substr(0, path.find('?'));
  created->route = routes_.Match(created->decoded.host, path);
  if (created->route == nullptr) {
    Reply(created, reply_kind::kNoRoute, {}, "no route");
    return;
  }
  const policy::route& route = *created->route;
  created->deadline = created->started +
                      std::min(created->decoded.time_left.value_or(route.timeout), route.timeout);
  created->objective = ObjectiveOf(*created);
  created->service = ServiceFor(route);
  BudgetOf(created->service).OnRequest(created->started);
  std::weak_ptr<state> weak = created;
  created->timer.Start(std::max(created->deadline - Now(), kernel::microseconds(1)), [this, weak] {
    if (const auto late = weak.lock()) OnDeadline(late);
  });
  Attempt(created);
}

// Lets a request wait while the daemon has just started: what it lacks is on its way, and a caller
// that is sent away may come back too early or too late. False if it has waited long enough.
bool call_router::Park(const state_ptr& of) {
  const kernel::time_point now = Now();
  if (now >= of->parked_until || now - started_at_ >= internal::kStartupTime) return false;
  parked_.push_back(of);
  if (!parked_timer_.running()) {
    parked_timer_.StartPeriodic(internal::kParkedCheckPeriod, [this] { RetryParked(); });
  }
  return true;
}

void call_router::RetryParked() {
  for (const state_ptr& waiting : std::exchange(parked_, {})) {
    if (waiting->over) continue;
    if (waiting->route == nullptr) {
      Begin(waiting);
    } else {
      Attempt(waiting);
    }
  }
  if (parked_.empty()) parked_timer_.Cancel();
}

void call_router::Attempt(const state_ptr& of) {
  const bool large = of->route->route_type == policy::route_type::kDownload;
  const std::shared_ptr<peer> chosen = peers_.Choose(of->service, of->tried, large);
  if (chosen == nullptr) {
    if (of->tried.empty() && Park(of)) return;
    Refuse(of, kernel::microseconds::zero(),
           of->tried.empty() ? "no upstream" : "no other upstream");
    return;
  }
  const kernel::time_point now = Now();
  const policy::route& route = *of->route;
  of->at = chosen;
  of->tried.push_back(chosen);
  protocol::run_request run;
  run.service = of->service;
  run.caller = gate_.service();
  run.method = of->decoded.method;
  run.target = of->decoded.target;
  run.headers = of->decoded.headers;
  run.route_type = route.route_type;
  run.priority = route.priority;
  run.time_left = of->deadline - now;
  run.route = route.name;
  run.objective_left = of->objective - now;
  of->run = chosen->Run(std::move(run), of->decoded.body,
                        [this, of](run_result result) { OnResult(of, std::move(result)); });
}

void call_router::OnResult(const state_ptr& of, run_result result) {
  if (of->over) return;
  of->at = nullptr;
  if (result.response) {
    ++of->sent;
    of->may_have_run = true;
    OnResponse(of, *std::move(result.response));
    return;
  }
  switch (result.failure) {
    case protocol::run_failure::kNoUpstream:
    case protocol::run_failure::kNoCapacity:
      OnNotRun(of, result);
      return;
    case protocol::run_failure::kRejected:
      ++of->sent;
      if (MaySendAgain(of)) return SendAgain(of, "rejected by the upstream");
      Refuse(of, result.retry_after, "rejected by the upstream");
      return;
    case protocol::run_failure::kUpstreamError:
      ++of->sent;
      of->may_have_run = true;
      if (policy::IsIdempotent(of->route->route_type) && MaySendAgain(of)) {
        return SendAgain(of, "the upstream broke off");
      }
      Reply(of, reply_kind::kUpstreamFailed, {}, "the upstream broke off");
      return;
    case protocol::run_failure::kTimeout:
      Reply(of, reply_kind::kTimeout, {}, "no response in time");
      return;
  }
}

void call_router::OnResponse(const state_ptr& of, http::whole_response response) {
  const bool failed = response.status >= internal::kFirstServerError;
  if (failed && policy::IsIdempotent(of->route->route_type) && MaySendAgain(of)) {
    of->failure = std::move(response);
    return SendAgain(of, "the upstream failed");
  }
  Deliver(of, std::move(response), failed ? "upstream-failed" : "ran");
}

// A request that reached an upstream goes to another one only within the route's attempts, the
// shared budget, and the time that is left.
bool call_router::MaySendAgain(const state_ptr& of) {
  if (of->sent >= of->route->attempts) return false;
  const kernel::microseconds left = of->deadline - Now();
  if (left < of->route->latency_objective * internal::kLeastTimePercent / 100) return false;
  if (!peers_.HasOther(of->service, of->tried)) return false;
  return BudgetOf(of->service).TryRetry(peers_.size(), Now());
}

void call_router::SendAgain(const state_ptr& of, std::string_view reason) {
  logging::event(logging::event_id::kRequestSentAgain)
      .With("request", of->decoded.request_id)
      .With("service", of->service)
      .With("reason", reason)
      .With("sent", of->sent);
  context_.metrics
      .Counter("cornelweir_resends_total", "Requests that were sent to another upstream",
               {{"service", of->service.value()}})
      .Increment();
  Attempt(of);
}

// It did not reach an upstream, so another daemon may take it at no cost to the budget.
void call_router::OnNotRun(const state_ptr& of, const run_result& result) {
  const bool room = result.failure == protocol::run_failure::kNoCapacity;
  if (++of->refusals < internal::kMaxRefusals && Now() < of->deadline &&
      peers_.HasOther(of->service, of->tried)) {
    Attempt(of);
    return;
  }
  Refuse(of, result.retry_after, room ? "no room" : "the upstream is gone");
}

void call_router::OnDeadline(const state_ptr& of) {
  if (of->over) return;
  if (of->at != nullptr) of->at->Cancel(of->run);
  of->at = nullptr;
  Reply(of, reply_kind::kTimeout, {}, "no response in time");
}

void call_router::OnGone(const state_ptr& of) {
  if (of->over) return;
  of->over = true;
  --in_progress_;
  of->timer.Cancel();
  if (of->at != nullptr) of->at->Cancel(of->run);
  logging::event(logging::event_id::kRequestEnded)
      .With("request", of->decoded.request_id)
      .With("outcome", "caller-gone")
      .With("ms", kernel::ToMilliseconds(Now() - of->started).count());
}

// A caller honours a time to come back of up to a third of what it has left.
void call_router::Refuse(const state_ptr& of, kernel::microseconds retry_after,
                         std::string_view reason) {
  if (of->failure) return Deliver(of, *std::move(of->failure), "upstream-failed");
  kernel::milliseconds back =
      std::max(kernel::ToMilliseconds(retry_after), internal::kMinRetryAfter);
  if (retry_after == kernel::microseconds::zero()) back = internal::kDefaultRetryAfter;
  back = std::min(back, internal::kMaxRetryAfter);
  const kernel::milliseconds left = kernel::ToMilliseconds(of->deadline - Now());
  back = std::min(back, std::max(left * 3 / 10, internal::kMinRetryAfter));
  Reply(of, of->may_have_run ? reply_kind::kUpstreamFailed : reply_kind::kNotRun, back, reason);
}

void call_router::Reply(const state_ptr& of, reply_kind kind, kernel::milliseconds retry_after,
                        std::string_view reason) {
  Deliver(of, dialect_.reply(of->decoded, kind, retry_after, reason), reason);
}

void call_router::Deliver(const state_ptr& of, http::whole_response response,
                          std::string_view outcome) {
  if (of->over) return;
  of->over = true;
  --in_progress_;
  of->timer.Cancel();
  const kernel::microseconds took = Now() - of->started;
  logging::event(logging::event_id::kRequestEnded)
      .With("request", of->decoded.request_id)
      .With("route", of->route != nullptr ? of->route->name.value() : std::string())
      .With("policy", of->policy ? of->policy->version : kernel::policy_version())
      .With("upstream_daemon",
            of->tried.empty() ? std::string() : of->tried.back()->entry().daemon.value())
      .With("status", response.status)
      .With("outcome", outcome)
      .With("refusals", of->refusals)
      .With("sent", of->sent)
      .With("ms", kernel::ToMilliseconds(took).count());
  context_.metrics
      .Counter("cornelweir_requests_total", "Requests of callers by outcome",
               {{"service", of->service.value()}, {"outcome", std::string(outcome)}})
      .Increment();
  context_.metrics
      .Histogram("cornelweir_request_seconds", "Time from a request to its answer",
                 {{"service", of->service.value()}})
      .Observe(std::chrono::duration<double>(took).count());
  of->request->Respond(std::move(response));
}

}  // namespace cornelweir::plugins::sidecar
