#include "plugins/sidecar/upstream_dispatcher.h"

#include <algorithm>
#include <utility>

#include "cornelweir/logging.h"
#include "plugins/wall_clock.h"

namespace cornelweir::plugins::sidecar {
namespace internal {

// How often queued requests are checked against their deadlines.
constexpr kernel::milliseconds kQueueCheckPeriod{10};
// A request that is cancelled this shortly before its deadline has timed out.
constexpr kernel::milliseconds kDeadlineTolerance{50};
constexpr kernel::microseconds kMaxReportedWait = std::chrono::seconds(60);

// Consecutive refused connections after which the upstream is unavailable. A single one may result
// from a limit on its connections.
constexpr int kMaxConnectFailures = 2;

// Requests at a time at an upstream whose rate limit is unknown.
constexpr std::int64_t kSlotsOfUnknownLimit = 1;

// The slots of the services that a request calls are to spare if its calls wait for at most one
// part in this many of its run time.
constexpr std::int64_t kMinRunsPerCallWait = 4;

}  // namespace internal

upstream_dispatcher::upstream_dispatcher(daemon_context& context, const dialect_functions& dialect,
                                         const bulk_sender& bulk, std::function<void()> on_change)
    : context_(context),
      dialect_(dialect),
      bulk_(bulk),
      on_change_(std::move(on_change)),
      client_(context.loop, http::upstream_limits(), context.memory),
      telemetry_(context.metrics),
      room_(context.memory, memory::memory_use::kUpstreamResponses),
      crashes_(context, {[this](const auto& suspects) { OnCrash(suspects); },
                         [this](admission::ticket id) { FinishHeld(id); }}),
      crash_count_(context.metrics.Counter("cornelweir_upstream_crashes_total",
                                           "Ends of the upstream with requests in progress", {})),
      backlog_(context, [this] { StartHeld(); }),
      trust_(context.clock.Now()),
      queue_timer_(context.loop),
      probe_timer_(context.loop),
      probe_period_(kMinProbePeriod),
      started_at_(context.clock.Now()),
      started_at_ms_(static_cast<std::uint64_t>(SinceEpochMs().count())) {
  client_.SetEndpoint(context.settings.sidecar->upstream);
}

const kernel::service_name& upstream_dispatcher::service() const {
  return announced_ ? announced_->service : context_.settings.sidecar->service;
}

bool upstream_dispatcher::IsOpen() const {
  return announced_ && !announced_->draining && !unavailable_ && !shutting_down_ &&
         (quarantine_ == nullptr || quarantine_->IsReady()) &&
         (guard_ == nullptr || guard_->Admits(announced_->service, announced_->version, Now()));
}

protocol::upstream_load upstream_dispatcher::Load() const {
  protocol::upstream_load load;
  load.slots = queue_.UsableSlots();
  load.in_progress = queue_.running();
  load.queued = queue_.queued();
  load.run_time = speed_.usual_run_time();
  load.slowdown_percent = speed_.slowdown_percent();
  // Bounded, since the wait is unlimited while there are no slots.
  load.wait = std::min(queue_.ExpectedWait(Now()), internal::kMaxReportedWait);
  return load;
}

protocol::upstream_report upstream_dispatcher::Report() const {
  protocol::upstream_report report;
  report.service = service();
  report.upstream = upstream();
  report.version = version();
  report.accepting = IsOpen();
  report.warm_up_left = std::max(warmed_up_at_ - Now(), kernel::microseconds::zero());
  report.load = Load();
  return report;
}

void upstream_dispatcher::OnStateChanged(std::string_view reason) {
  logging::event(logging::event_id::kUpstreamChanged)
      .With("upstream", announced_ ? announced_->id.value() : std::string())
      .With("service", service())
      .With("open", IsOpen())
      .With("rate_limit", RequestsPerSecond())
      .With("reason", reason);
  if (!IsOpen()) RefuseAll(queue_.Clear());
  UpdateSlots();
  on_change_();
}

double upstream_dispatcher::RequestsPerSecond() const {
  const auto limit = queue_.rate_limit();
  return limit ? kernel::RequestsPerSecond(*limit) : 0;
}

void upstream_dispatcher::UpdateSlots() {
  const std::int64_t slots = IsOpen() ? announced_->slots : 0;
  StartAll(queue_.SetSlots(
      rate_limit_known_ ? slots : std::min(slots, internal::kSlotsOfUnknownLimit), Now()));
}

void upstream_dispatcher::BeginShutdown() {
  shutting_down_ = true;
  OnStateChanged("shutdown");
}

// The tolerance is for the time between the sender's computation of what is left and this one.
bool upstream_dispatcher::EndsInTime(const run& added) const {
  return finish_at_ == kernel::time_point::max() ||
         added.deadline <= finish_at_ + internal::kDeadlineTolerance;
}

void upstream_dispatcher::OnConnectFailure() {
  if (++connect_failures_ < internal::kMaxConnectFailures || unavailable_) return;
  unavailable_ = true;
  OnStateChanged("refuses connections");
}

admission::ticket upstream_dispatcher::Run(protocol::run_request request, std::string body,
                                           run_callback done) {
  const kernel::time_point now = Now();
  const admission::ticket id(next_ticket_++);
  run& added = runs_[id];
  added.arrived_at = now;
  added.deadline = now + request.time_left;
  added.rank = {request.priority, now + request.objective_left, added.deadline};
  added.request = std::move(request);
  added.body = std::move(body);
  added.done = std::move(done);
  if (const auto refusal = RefusalOf(added)) {
    PostFinish(id, *refusal);
    return id;
  }
  if (!Serves(added.request.service) || !EndsInTime(added)) {
    RefuseAll({id});
    return id;
  }
  PrepareSlotRequest(id, added);
  const admission::slot_decision decision = queue_.Submit(added.asked, now);
  switch (decision.outcome) {
    case admission::slot_decision::kind::kRun:
      StartOrHold(id);
      break;
    case admission::slot_decision::kind::kQueue:
      StartQueueTimer();
      break;
    case admission::slot_decision::kind::kRefuse:
      break;
  }
  RefuseSlots(decision.refused);
  return id;
}

// Describes a new request to the queue. A nested request gets the rank of its parent, and is of no
// use after the deadline of its parent. Without a stated rank it goes before others, since refusing
// it wastes the slot of its parent.
void upstream_dispatcher::PrepareSlotRequest(admission::ticket id, run& added) {
  const kernel::time_point now = Now();
  admission::slot_request& described = added.asked;
  described.id = id;
  described.route = added.request.route;
  described.workspace = added.request.workspace;
  described.has_alternative = added.request.has_alternative;
  described.priority = added.request.priority;
  described.objective = added.rank.objective;
  described.deadline = added.deadline;
  described.nested = nested_routes_.Observe(added.request.route, added.request.caller);
  if (described.nested && added.request.parent) {
    const protocol::parent_rank& parent = *added.request.parent;
    added.rank = {parent.priority, now + parent.objective_left, now + parent.time_left};
    described.priority = parent.priority;
    if (added.rank.objective > now) {
      described.objective = std::min(described.objective, added.rank.objective);
    }
    described.deadline = std::min(described.deadline, added.rank.deadline);
  } else if (described.nested) {
    described.priority = admission::kMostUrgent;
  }
  route_history& history = history_[added.request.route];
  history.time_limit = std::max(history.time_limit, added.request.time_left);
  described.run_time = history.run_time.mean();
  described.safe_run_time = history.run_time.Safe(history.time_limit, now);
  described.transfer_time = EstimateTransferTime(history);
  if (service_wait_) described.call_wait = calls_.ExpectedWait(described.route, service_wait_);
  if (MayRunInVain(added, described)) {
    described.least_transfer_time =
        std::min(described.transfer_time, bulk_.TransferTimeAlone(history.response_bytes));
  }
}

// Whether the response of a request may be dropped so that shorter ones can be sent. Its calls
// must not cost slots elsewhere that are not to spare.
bool upstream_dispatcher::MayRunInVain(const run& added,
                                       const admission::slot_request& described) const {
  return policy::IsIdempotent(added.request.retry_safety) && !described.nested &&
         described.call_wait * internal::kMinRunsPerCallWait <= described.run_time &&
         bulk_.MayExceedNetwork();
}

std::optional<protocol::parent_rank> upstream_dispatcher::RankOfCalls() const {
  std::vector<admission::request_rank> running;
  for (const auto& [id, run] : runs_) {
    if (run.exchange) running.push_back(run.rank);
  }
  const auto rank = admission::RankOfCall(std::move(running));
  if (!rank) return std::nullopt;
  const kernel::time_point now = Now();
  return protocol::parent_rank{rank->priority, rank->objective - now, rank->deadline - now};
}

double upstream_dispatcher::RepeatedShare() const {
  if (running_ == 0) return 0;
  return static_cast<double>(running_repeated_) / static_cast<double>(running_);
}

void upstream_dispatcher::RefuseQueuedIfClosed() {
  if (queue_.queued() == 0 || IsOpen()) return;
  RefuseAll(queue_.Clear());
}

void upstream_dispatcher::StartQueueTimer() {
  if (queue_timer_.running() || queue_.queued() == 0) return;
  queue_timer_.Start(internal::kQueueCheckPeriod, [this] {
    RefuseOverdue(queue_.Expire(Now()));
    UpdateCallWaits();
    RefuseQueuedIfClosed();
    StartAll(queue_.AdmitQueued(Now()));
    StartQueueTimer();
  });
}

void upstream_dispatcher::PostFinish(admission::ticket id, const run_result& result) {
  context_.loop.Post([this, id, result] { Finish(id, result); });
}

void upstream_dispatcher::RefuseAll(const std::vector<admission::ticket>& ids) {
  run_result result;
  result.failure = protocol::run_failure::kNoUpstream;
  for (const admission::ticket& id : ids) PostFinish(id, result);
}

void upstream_dispatcher::RefuseOverdue(const std::vector<admission::ticket>& ids) {
  std::vector<admission::slot_refusal> refusals;
  refusals.reserve(ids.size());
  for (const admission::ticket& id : ids) {
    refusals.push_back({id, admission::slot_refusal_cause::kDeadline});
  }
  RefuseSlots(refusals);
}

void upstream_dispatcher::RefuseSlots(const std::vector<admission::slot_refusal>& refusals) {
  if (refusals.empty()) return;
  const kernel::time_point now = Now();
  const kernel::microseconds wait =
      std::max(queue_.ExpectedWait(now), bulk_.EstimatedTransferTime(expected_bytes_));
  for (const admission::slot_refusal& refusal : refusals) {
    const run& refused = runs_.at(refusal.id);
    run_result result;
    result.failure = protocol::run_failure::kNoCapacity;
    result.retry_after =
        service_wait_ ? wait + calls_.ExpectedWait(refused.request.route, service_wait_) : wait;
    telemetry_.OnRefused({refused.asked, refusal.cause, now - refused.arrived_at,
                          result.retry_after, queue_.running(), queue_.queued()},
                         now);
    PostFinish(refusal.id, result);
  }
}

void upstream_dispatcher::OnCallOfUpstream(const kernel::service_name& called) {
  std::vector<kernel::route_name> running;
  for (const auto& [id, run] : runs_) {
    if (run.exchange && !run.asked.nested) running.push_back(run.request.route);
  }
  calls_.OnCall(called, running);
}

void upstream_dispatcher::UpdateCallWaits() {
  if (!service_wait_) return;
  calls_.ForEachCallingRoute([this](const kernel::route_name& route) {
    queue_.SetCallWait(route, calls_.ExpectedWait(route, service_wait_));
  });
}

void upstream_dispatcher::StartAll(const std::vector<admission::ticket>& ids) {
  for (const admission::ticket& id : ids) StartOrHold(id);
}

void upstream_dispatcher::StartOrHold(admission::ticket id) {
  if (backlog_.IsUnread()) {
    held_.push_back(id);
  } else {
    Start(id);
  }
}

// A request whose deadline passed meanwhile, or whose upstream was closed, is refused.
void upstream_dispatcher::StartHeld() {
  for (const admission::ticket& id : std::exchange(held_, {})) {
    const kernel::time_point now = Now();
    if (IsOpen() && runs_.at(id).deadline > now) {
      Start(id);
      continue;
    }
    if (IsOpen()) {
      RefuseOverdue({id});
    } else {
      RefuseAll({id});
    }
    StartAll(queue_.Release(id, std::nullopt, now));
  }
}

void upstream_dispatcher::Start(admission::ticket id) {
  if (RefuseAtStart(id) || !ReserveResponse(id)) return;
  run& started = runs_.at(id);
  started.started_at = Now();
  started.upstream = announced_->id;
  started.was_suspect =
      quarantine_ != nullptr && quarantine_->IsSuspect(started.request.fingerprint);
  telemetry_.ObserveWait(started.request, started.rank.priority,
                         started.started_at - started.arrived_at);
  const std::size_t mean_bytes = history_[started.request.route].response_bytes;
  if (bulk_sender::IsLarge(mean_bytes)) started.expected_bytes = mean_bytes;
  expected_bytes_ += started.expected_bytes;
  ++running_;
  if (started.request.repeated) ++running_repeated_;
  const kernel::microseconds left = started.deadline - started.started_at;
  started.exchange = client_.Send(
      dialect_.encode_run(started.request, std::move(started.body), announced_->id,
                          std::max(kernel::ToMilliseconds(left), kernel::milliseconds(1))),
      std::max(left, kernel::microseconds(1)),
      [this, id](const http::whole_response& response) {
        const auto found = runs_.find(id);
        if (found == runs_.end()) return http::response_match::kUnusable;
        found->second.response_kind = dialect_.classify_response(found->second.request, response);
        switch (found->second.response_kind) {
          case upstream_response_kind::kStale:
            return http::response_match::kStale;
          case upstream_response_kind::kUnusable:
            return http::response_match::kUnusable;
          default:
            return http::response_match::kMatched;
        }
      },
      [this, id](http::upstream_result result) { OnExchangeEnded(id, std::move(result)); });
}

void upstream_dispatcher::OnExchangeEnded(admission::ticket id, http::upstream_result result) {
  const auto found = runs_.find(id);
  if (found == runs_.end()) return;
  const bool connected = result.status != http::upstream_status::kNotSent;
  if (connected) connect_failures_ = 0;
  std::optional<kernel::microseconds> run_time;
  if (result.status == http::upstream_status::kResponse) {
    run_time = Now() - found->second.started_at;
    OnNotice(found->second, dialect_.read_notice(*result.response));
  }
  if (result.status == http::upstream_status::kTimeout) RecordTimeout(found->second);
  run_result ended = TranslateResult(found->second, std::move(result));
  if (!ended.response) run_time.reset();
  std::shared_ptr<memory::memory_hold> reserved = std::move(found->second.reservation);
  if (ended.response) {
    room_.Admit(found->second.request.route, std::move(reserved), *ended.response);
  }
  RecordEvidence(found->second, ended);
  const bool may_be_crash = MayBeCrash(found->second, ended);
  if (ended.response) OnCompleted(found->second.request.fingerprint);
  if (connected && !found->second.asked.nested) calls_.OnRunEnded(found->second.request.route);
  if (run_time) RecordRun(found->second.request.route, *run_time, ended.response->body.size());
  RefuseQueuedIfClosed();
  const std::vector<admission::ticket> next = queue_.Release(id, run_time, Now());
  if (may_be_crash) {
    Hold(id);
  } else {
    Finish(id, std::move(ended));
  }
  StartAll(next);
  if (!connected) OnConnectFailure();
}

// Runs that did not reach the upstream, or that an earlier upstream ended, are no evidence.
void upstream_dispatcher::RecordEvidence(const run& ended, const run_result& result) {
  if (guard_ == nullptr || !announced_ || announced_->id != ended.upstream) return;
  rollout::run_end end = rollout::run_end::kSuccess;
  if (result.response) {
    if (result.response->status.is_server_error()) end = rollout::run_end::kServerError;
  } else if (result.failure == protocol::run_failure::kUpstreamError) {
    end = rollout::run_end::kBroken;
  } else if (result.failure == protocol::run_failure::kTimeout) {
    end = rollout::run_end::kTimeout;
  } else {
    return;
  }
  const kernel::time_point now = Now();
  guard_->Record(service(), ended.request.route, end, now - ended.started_at,
                 ended.started_at < warmed_up_at_, now);
}

run_result upstream_dispatcher::TranslateResult(const run& ended, http::upstream_result result) {
  run_result translated;
  switch (result.status) {
    case http::upstream_status::kNotSent:
      translated.failure = protocol::run_failure::kNoUpstream;
      return translated;
    case http::upstream_status::kBroken:
      translated.failure = protocol::run_failure::kUpstreamError;
      return translated;
    case http::upstream_status::kTimeout:
      translated.failure = protocol::run_failure::kTimeout;
      return translated;
    case http::upstream_status::kResponse:
      break;
  }
  switch (ended.response_kind) {
    case upstream_response_kind::kOtherUpstream:
      // The announced upstream was replaced. Its successor will announce itself.
      if (announced_ && announced_->id == ended.upstream && !unavailable_) {
        unavailable_ = true;
        context_.loop.Post([this] { OnStateChanged("another upstream has the address"); });
      }
      [[fallthrough]];
    case upstream_response_kind::kNotRun:
      translated.failure = protocol::run_failure::kRejected;
      return translated;
    default:
      translated.response = std::move(result.response);
      return translated;
  }
}

// Estimates the time to transfer the response after the run of a new request. The responses of
// running requests are sent first, partly during that run.
kernel::microseconds upstream_dispatcher::EstimateTransferTime(const route_history& route) const {
  if (!bulk_sender::IsLarge(route.response_bytes)) return {};
  const kernel::microseconds others = bulk_.EstimatedTransferTime(expected_bytes_);
  if (others <= route.run_time.mean()) return {};
  return bulk_.EstimatedTransferTime(expected_bytes_ + route.response_bytes) -
         route.run_time.mean();
}

kernel::microseconds upstream_dispatcher::MeanRunTime(const kernel::route_name& route) const {
  const auto found = history_.find(route);
  return found == history_.end() ? kernel::microseconds::zero() : found->second.run_time.mean();
}

void upstream_dispatcher::RecordRun(const kernel::route_name& route, kernel::microseconds run_time,
                                    std::size_t bytes) {
  route_history& known = history_[route];
  known.run_time.OnCompleted(run_time, Now());
  speed_.OnRun(route, run_time);
  const auto mean = static_cast<std::int64_t>(known.response_bytes);
  const auto sample = static_cast<std::int64_t>(bytes);
  known.response_bytes = static_cast<std::size_t>(
      mean == 0 ? sample : mean + (sample - mean) / admission::kMovingAverageDivisor);
}

void upstream_dispatcher::RecordTimeout(const run& ended) {
  const kernel::microseconds elapsed = Now() - ended.started_at;
  admission::run_time_estimate& known = history_[ended.request.route].run_time;
  if (elapsed > known.mean()) speed_.OnRun(ended.request.route, elapsed);
  known.OnTimeout(elapsed, Now());
}

void upstream_dispatcher::CountEnd(const run& ended) {
  if (!ended.exchange) return;
  telemetry_.OnSlotFreed(ended.request.route, ended.asked.nested, Now() - ended.started_at);
  expected_bytes_ -= ended.expected_bytes;
  --running_;
  if (ended.request.repeated) --running_repeated_;
}

void upstream_dispatcher::Finish(admission::ticket id, run_result result) {
  const auto found = runs_.find(id);
  if (found == runs_.end()) return;
  CountEnd(found->second);
  run ended = std::move(found->second);
  runs_.erase(found);
  result.nested = ended.asked.nested;
  result.route_run_time = UsualRunTime(ended.request.route);
  if (ended.result_wanted) ended.done(std::move(result));
}

void upstream_dispatcher::Cancel(admission::ticket id) {
  const auto found = runs_.find(id);
  if (found == runs_.end()) return;
  found->second.result_wanted = false;
  if (queue_.Cancel(id, Now()) || crashes_.Cancel(id)) {
    runs_.erase(found);
    return;
  }
  if (std::erase(held_, id) > 0) {
    runs_.erase(found);
    StartAll(queue_.Release(id, std::nullopt, Now()));
    return;
  }
  if (!found->second.exchange || !policy::IsIdempotent(found->second.request.retry_safety)) return;
  RecordTimeout(found->second);
  // The sender cancels at the deadline, just before the exchange here would time out.
  if (found->second.deadline - Now() < internal::kDeadlineTolerance) {
    run_result timeout;
    timeout.failure = protocol::run_failure::kTimeout;
    RecordEvidence(found->second, timeout);
  }
  found->second.exchange->Cancel();
  CountEnd(found->second);
  runs_.erase(found);
  StartAll(queue_.Release(id, std::nullopt, Now()));
}

}  // namespace cornelweir::plugins::sidecar
