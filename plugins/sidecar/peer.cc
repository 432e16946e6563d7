#include "plugins/sidecar/peer.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>
#include <variant>
#include <vector>

#include "cornelweir/codec.h"
#include "cornelweir/logging.h"
#include "cornelweir/memory.h"
#include "plugins/greeting.h"

namespace cornelweir::plugins::sidecar {
namespace internal {

constexpr kernel::microseconds kMinBackoff = std::chrono::milliseconds(50);
constexpr kernel::microseconds kMaxBackoff = std::chrono::seconds(1);
// Routes whose run times at an upstream are kept.
constexpr std::size_t kMaxRouteRunTimes = 32;
// Number of different random credits with which a peer starts.
constexpr std::uint64_t kCreditSteps = 1'000;
// Weight of one sample in the moving average of the failure rate.
constexpr double kSampleWeight = 0.1;
// Time constant of its exponential decay without new samples (to about a third), so that an
// upstream that was failing is tried again.
constexpr double kDecaySeconds = 3.0;

// The result of a request whose daemon is lost. One without its whole body has certainly not run.
run_result LostResult(bool body_unsent) {
  run_result result;
  result.failure =
      body_unsent ? protocol::run_failure::kNoUpstream : protocol::run_failure::kUpstreamError;
  return result;
}

}  // namespace internal

peer::peer(daemon_context& context, membership::roster_entry entry, upstream_dispatcher* dispatcher,
           bulk_sender& bulk)
    : context_(context),
      entry_(std::move(entry)),
      dispatcher_(dispatcher),
      bulk_(bulk),
      credit_(static_cast<double>(kernel::UniformBelow(context.random, internal::kCreditSteps)) /
              static_cast<double>(internal::kCreditSteps)) {}

peer::~peer() {
  if (alive_) *alive_ = false;
  DropAllBodies();
  if (link_) link_->Close("the peer is not needed any more");
}

void peer::Connect() {
  alive_ = std::make_shared<bool>(true);
  connected_ = false;
  transport::link_handlers handlers;
  handlers.opened = [this, alive = alive_](const std::shared_ptr<transport::link>& link) {
    if (!*alive) return;
    connected_ = true;
    last_received_at_ = probed_at_ = Now();
    const protocol::report_message greeting =
        Greeting(protocol::process_role::kSidecar, context_.settings.host);
    link->Send(codec::Encode(greeting));
    opened_(*this);
  };
  handlers.message = [this, alive = alive_](const std::shared_ptr<transport::link>&,
                                            std::string_view payload) {
    if (*alive) OnMessage(payload);
  };
  handlers.closed = [this, alive = alive_](const std::shared_ptr<transport::link>&,
                                           const std::string& reason) {
    if (*alive) OnClosed(reason);
  };
  link_ = transport::link::Connect(context_.loop.context(), entry_.daemon, context_.tls,
                                   std::move(handlers));
}

void peer::Maintain(kernel::microseconds idle_probe_period) {
  if (dispatcher_ != nullptr) return;
  const kernel::time_point now = Now();
  if (!link_) {
    if (now >= retry_at_) Connect();
    return;
  }
  if (!connected_) return;
  // After a pause of this process, what the peer sent meanwhile may not have been read yet.
  const kernel::microseconds silence_time = context_.pauses.InputArrival(now) - last_received_at_;
  const bool has_pending = !pending_.empty();
  const kernel::microseconds limit =
      has_pending ? kernel::microseconds(protocol::kLinkTimeout)
                  : kernel::microseconds(protocol::kLinkTimeout) + idle_probe_period;
  if (silence_time >= limit && probed_at_ > last_received_at_) {
    OnSilent();
    if (pending_.empty() || silence_time >= limit + protocol::kMaxSilence) {
      link_->Close("the peer is silent");
    }
    return;
  }
  const kernel::microseconds period =
      has_pending ? kernel::microseconds(protocol::kLinkProbeDelay) : idle_probe_period;
  if (silence_time >= period && now - probed_at_ >= period) {
    probed_at_ = now;
    SendCountedData(context_.metrics, *link_, protocol::link_probe{kernel::nonce(next_probe_++)});
  }
}

void peer::Update(const membership::roster_entry& entry) {
  const bool restarted = entry.incarnation != entry_.incarnation;
  entry_ = entry;
  if (!restarted || connected_ || dispatcher_ != nullptr) return;
  if (alive_) *alive_ = false;
  if (link_) link_->Close("the daemon has started again");
  link_.reset();
  Connect();
}

void peer::Close() {
  retry_at_ = kernel::time_point::max();
  if (link_) link_->Close("the daemon is shutting down");
}

void peer::OnClosed(const std::string& reason) {
  if (connected_) {
    logging::event(logging::event_id::kPeerLost)
        .With("peer", entry_.daemon)
        .With("reason", reason)
        .With("in_progress", pending_.size());
    backoff_ = kernel::microseconds::zero();
  }
  backoff_ = std::clamp(backoff_ * 2, internal::kMinBackoff, internal::kMaxBackoff);
  if (retry_at_ != kernel::time_point::max()) retry_at_ = Now() + backoff_;
  DropAllBodies();
  link_.reset();
  connected_ = false;
  silent_ = false;
  report_.reset();
  const auto abandoned = std::exchange(pending_, {});
  for (const auto& [id, call] : abandoned) call.done(internal::LostResult(call.body_unsent));
}

void peer::DropAllBodies() {
  if (link_) bulk_.OnClosed(link_.get());
}

void peer::DropBody(kernel::call_id id, const pending& call) {
  if (call.body_unsent && link_) bulk_.Cancel(link_.get(), id);
}

// The daemon may only be paused, or its network be slow, so requests that must not run twice wait
// for their result until their deadline. The others, and those whose bodies have not been sent in
// full, are sent elsewhere.
void peer::OnSilent() {
  if (!silent_) {
    silent_ = true;
    logging::event(logging::event_id::kPeerSilent)
        .With("peer", entry_.daemon)
        .With("in_progress", pending_.size());
  }
  std::vector<std::pair<kernel::call_id, bool>> abandoned;
  for (const auto& [id, call] : pending_) {
    if (call.idempotent || call.body_unsent) abandoned.emplace_back(id, call.body_unsent);
  }
  for (const auto& [id, body_unsent] : abandoned) {
    SendCountedData(context_.metrics, *link_, protocol::cancel_request{id});
    Finish(id, internal::LostResult(body_unsent));
  }
}

void peer::OnMessage(std::string_view payload) {
  last_received_at_ = Now();
  silent_ = false;
  const auto frame = ReadCountedData(context_.metrics, payload);
  if (!frame) {
    link_->Close("malformed message");
    return;
  }
  if (const auto* report = std::get_if<protocol::upstream_report>(&frame->message)) {
    OnReport(*report);
  } else if (const auto* response = std::get_if<protocol::run_response>(&frame->message)) {
    OnResponse(*response, frame->payload);
  } else if (const auto* piece = std::get_if<protocol::body_piece>(&frame->message)) {
    SendCountedData(context_.metrics, *link_, protocol::body_piece_ack{piece->id});
    OnBodyPiece(*piece, frame->payload);
  } else if (const auto* credit = std::get_if<protocol::body_credit>(&frame->message)) {
    bulk_.AddCredit(link_.get(), credit->id, credit->bytes);
  } else if (std::holds_alternative<protocol::body_piece_ack>(frame->message)) {
    bulk_.OnPieceAcknowledged(link_.get());
  } else if (const auto* failed = std::get_if<protocol::run_failed>(&frame->message)) {
    UpdateLoad(failed->load);
    run_result result;
    result.failure = failed->failure;
    result.retry_after = failed->retry_after;
    result.nested = failed->nested;
    result.quarantined_for = failed->quarantined_for;
    result.response_dropped = failed->response_dropped;
    Finish(failed->id, std::move(result));
  } else if (const auto* closing = std::get_if<protocol::link_closing>(&frame->message)) {
    OnClosing(*closing);
  }
}

// The others have a result that is partly received, or none that will come.
void peer::OnClosing(const protocol::link_closing& message) {
  if (report_) report_->accepting = false;
  const std::set<kernel::call_id> taken(message.taken.begin(), message.taken.end());
  std::vector<kernel::call_id> not_taken;
  for (const auto& [id, call] : pending_) {
    if (!taken.contains(id) && !call.response) not_taken.push_back(id);
  }
  run_result result;
  result.failure = protocol::run_failure::kNoUpstream;
  for (const kernel::call_id id : not_taken) Finish(id, result);
}

void peer::OnReport(const protocol::upstream_report& report) {
  // The failures of an earlier upstream process do not apply to a new one.
  if (!report_ || report_->upstream != report.upstream) {
    failure_rate_ = 0;
    route_run_times_.clear();
  }
  report_ = report;
  OnNewLoad();
}

void peer::UpdateLoad(const protocol::upstream_load& load) {
  if (!report_) return;
  report_->load = load;
  OnNewLoad();
}

void peer::OnNewLoad() {
  reported_at_ = Now();
  sent_since_report_ = 0;
  body_bytes_since_report_ = 0;
}

void peer::OnResponse(const protocol::run_response& message, std::string_view payload) {
  UpdateLoad(message.load);
  const auto found = pending_.find(message.id);
  if (found == pending_.end()) return;
  found->second.nested = message.nested;
  // A daemon of another version may pass on what its upstream sent.
  const auto status = http::status_code::Parse(message.status);
  if (!status || status->is_interim()) return RefuseResponse(message.id);
  http::whole_response& response =
      found->second.response.emplace(http::whole_response{*status, message.headers});
  RecordRunTime(found->second.route, message.route_run_time);
  // An older daemon states no size; the room grows by piece then.
  const std::uint64_t bytes = message.last ? payload.size() : message.body_bytes;
  if (!TakeRoom(response, bytes)) return DropResponse(message.id);
  response.body.reserve(bytes);
  OnBodyPiece({message.id, message.last}, payload);
}

bool peer::TakeRoom(http::whole_response& response, std::uint64_t bytes) {
  if (bytes == 0) return true;
  if (bytes > protocol::kMaxLinkBodyBytes) return false;
  if (!response.hold) {
    response.hold = std::make_shared<memory::memory_hold>(context_.memory,
                                                          memory::memory_use::kUpstreamResponses);
  }
  const kernel::byte_count wanted(static_cast<std::int64_t>(bytes));
  return wanted <= response.hold->bytes() || response.hold->Resize(wanted);
}

void peer::OnBodyPiece(const protocol::body_piece& message, std::string_view payload) {
  const auto found = pending_.find(message.id);
  if (found == pending_.end()) return;
  if (!found->second.response) return RefuseResponse(message.id);
  http::whole_response& response = *found->second.response;
  if (!TakeRoom(response, response.body.size() + payload.size())) return DropResponse(message.id);
  response.body.append(payload);
  if (!message.last) return;
  run_result result;
  result.response = std::move(response);
  result.nested = found->second.nested;
  Finish(message.id, std::move(result));
}

void peer::RefuseResponse(kernel::call_id id) {
  SendCountedData(context_.metrics, *link_, protocol::cancel_request{id});
  run_result result;
  result.failure = protocol::run_failure::kUpstreamError;
  result.nested = pending_.at(id).nested;
  Finish(id, std::move(result));
}

// The link stays open for the responses to others.
void peer::DropResponse(kernel::call_id id) {
  context_.metrics
      .Counter("cornelweir_link_responses_dropped_total",
               "Responses of other daemons that were dropped for lack of memory", {})
      .Increment();
  SendCountedData(context_.metrics, *link_, protocol::cancel_request{id});
  run_result result;
  result.failure = protocol::run_failure::kUpstreamError;
  result.nested = pending_.at(id).nested;
  End(id, std::move(result));
}

void peer::Finish(kernel::call_id id, run_result result) {
  if (!pending_.contains(id)) return;
  RecordResult(result);
  End(id, std::move(result));
}

void peer::End(kernel::call_id id, run_result result) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) return;
  const pending ended = std::move(found->second);
  pending_.erase(found);
  DropBody(id, ended);
  ended.done(std::move(result));
}

// Policies may have thousands of routes, but a daemon's callers use few of them.
void peer::RecordRunTime(const kernel::route_name& route, kernel::microseconds run_time) {
  if (run_time.count() == 0) return;
  if (route_run_times_.size() >= internal::kMaxRouteRunTimes && !route_run_times_.contains(route)) {
    route_run_times_.clear();
  }
  route_run_times_[route] = run_time;
}

void peer::RecordResult(const run_result& result) {
  const kernel::time_point now = Now();
  const double idle_seconds = std::chrono::duration<double>(now - last_result_at_).count();
  failure_rate_ *= std::exp(-idle_seconds / internal::kDecaySeconds);
  last_result_at_ = now;
  const bool refused = !result.response && (result.failure == protocol::run_failure::kNoCapacity ||
                                            result.failure == protocol::run_failure::kNoUpstream);
  if (refused || result.response_dropped) return;
  const bool failed = !result.response || result.response->status.is_server_error();
  failure_rate_ += internal::kSampleWeight * ((failed ? 1.0 : 0.0) - failure_rate_);
}

bool peer::Serves(const kernel::service_name& service) const {
  if (dispatcher_ != nullptr) return dispatcher_->Serves(service);
  return link_ && connected_ && !silent_ && report_ && report_->accepting &&
         report_->service == service;
}

kernel::software_version peer::version() const {
  if (dispatcher_ != nullptr) return dispatcher_->version();
  return report_ ? report_->version : kernel::software_version();
}

kernel::microseconds peer::ReportedWait() const {
  return dispatcher_ != nullptr ? dispatcher_->Load().wait : report_->load.wait;
}

kernel::microseconds peer::ReportedRunTime() const {
  return dispatcher_ != nullptr ? dispatcher_->Load().run_time : report_->load.run_time;
}

kernel::microseconds peer::ReportAge() const {
  return dispatcher_ != nullptr ? kernel::microseconds::zero() : Now() - reported_at_;
}

routing::peer_candidate peer::Candidate(const kernel::route_name& route,
                                        std::size_t body_bytes) const {
  const protocol::upstream_load load = dispatcher_ != nullptr ? dispatcher_->Load() : report_->load;
  routing::peer_candidate candidate;
  candidate.slots = load.slots;
  candidate.reported_requests = load.in_progress + load.queued;
  candidate.sent_since_report = dispatcher_ != nullptr ? 0 : sent_since_report_;
  const double idle_seconds = std::chrono::duration<double>(Now() - last_result_at_).count();
  const double decay = std::exp(-idle_seconds / internal::kDecaySeconds);
  candidate.failure_rate = failure_rate_ * decay;
  candidate.report_age = ReportAge();
  candidate.run_time = load.run_time;
  if (dispatcher_ != nullptr) {
    candidate.route_run_time = dispatcher_->UsualRunTime(route);
  } else if (const auto known = route_run_times_.find(route); known != route_run_times_.end()) {
    candidate.route_run_time = known->second;
  }
  candidate.slowdown_percent = load.slowdown_percent;
  candidate.credit = credit_;
  // A request for the upstream on this host moves no bytes over a link.
  if (dispatcher_ == nullptr && bulk_sender::IsLarge(body_bytes)) {
    candidate.transfer_time =
        routing::ExpectedTransferTime({load.missing_body_bytes, load.body_bytes_per_second,
                                       ReportAge(), body_bytes_since_report_},
                                      body_bytes);
  }
  return candidate;
}

kernel::call_id peer::Run(protocol::run_request request, std::shared_ptr<const std::string> body,
                          run_callback done) {
  const kernel::call_id id(next_call_++);
  pending& added = pending_[id];
  added.done = std::move(done);
  added.route = request.route;
  added.idempotent = policy::IsIdempotent(request.retry_safety);
  if (dispatcher_ != nullptr) {
    const auto ticket = dispatcher_->Run(std::move(request), *body, [this, id](run_result result) {
      Finish(id, std::move(result));
    });
    pending_.at(id).ticket = ticket;
    return id;
  }
  // The silence of an idle link counts from kLinkProbeDelay before its first pending request, so
  // that the link is probed soon.
  if (pending_.size() == 1) {
    last_received_at_ = std::max(last_received_at_, Now() - protocol::kLinkProbeDelay);
  }
  ++sent_since_report_;
  request.id = id;
  if (!bulk_sender::IsLarge(body->size())) {
    SendCountedData(context_.metrics, *link_, std::move(request), *body);
    return id;
  }
  added.body_unsent = true;
  body_bytes_since_report_ += static_cast<std::int64_t>(body->size());
  request.body_bytes = body->size();
  SendCountedData(context_.metrics, *link_, std::move(request));
  bulk_.SendOnCredit(link_, id, std::move(body), [this, id] { OnBodySent(id); });
  return id;
}

void peer::OnBodySent(kernel::call_id id) { pending_.at(id).body_unsent = false; }

void peer::Cancel(kernel::call_id id) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) return;
  const admission::ticket ticket = found->second.ticket;
  DropBody(id, found->second);
  pending_.erase(found);
  if (dispatcher_ != nullptr) {
    dispatcher_->Cancel(ticket);
  } else if (link_ && connected_) {
    SendCountedData(context_.metrics, *link_, protocol::cancel_request{id});
  }
}

}  // namespace cornelweir::plugins::sidecar
