#include "plugins/proxy/local_upstream.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>

#include "cornelweir/codec.h"
#include "cornelweir/logging.h"
#include "plugins/proxy/request_headers.h"
#include "plugins/wall_clock.h"

namespace cornelweir::plugins::proxy {
namespace internal {

using codec::json;

constexpr kernel::milliseconds kMaintenancePeriod{1'000};
// An upstream announces itself every second; after this silence it is taken for gone.
constexpr kernel::milliseconds kAnnouncementTimeout{4'000};
// Connections of a crashed process break within this time of each other.
constexpr kernel::milliseconds kCrashWindow{50};
// A process that was restarted announces itself within this time.
constexpr kernel::milliseconds kRestartWindow{5'000};
constexpr kernel::milliseconds kProbeTimeout{500};

// What an upstream says of itself.
struct announcement {
  kernel::upstream_id id;
  kernel::service_name service;
  kernel::subset_name subset;
  kernel::endpoint endpoint;
  kernel::request_count slots;
  kernel::request_count connections;
  std::string state;
  // When the process started, by its own clock. Tells a new process from its predecessor.
  std::int64_t started_at_ms = 0;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"id", &announcement::id},
                      kernel::field{"service", &announcement::service},
                      kernel::field{"subset", &announcement::subset},
                      kernel::field{"endpoint", &announcement::endpoint},
                      kernel::field{"slots", &announcement::slots},
                      kernel::field{"connections", &announcement::connections},
                      kernel::field{"state", &announcement::state},
                      kernel::field{"started_at_ms", &announcement::started_at_ms}};
  }
};

std::optional<membership::upstream_state> ParseState(std::string_view name) {
  if (name == "starting") return membership::upstream_state::kStarting;
  if (name == "ready") return membership::upstream_state::kReady;
  if (name == "draining") return membership::upstream_state::kDraining;
  return std::nullopt;
}

// Whether the upstream went back to a state that it had passed, so that it must be a new process.
bool IsRestart(membership::upstream_state before, membership::upstream_state after) {
  return static_cast<int>(after) < static_cast<int>(before);
}

http::admin_response Answer(int status, std::string_view text) {
  http::admin_response response;
  response.status = status;
  response.body = json{{"result", std::string(text)}}.dump() + "\n";
  return response;
}

}  // namespace internal

local_upstream::local_upstream(daemon_context& context, control_client& control,
                               subscription& configuration)
    : context_(context),
      control_(control),
      configuration_(configuration),
      pool_(context.loop),
      probe_(context.loop),
      share_(kernel::upstream_id()),
      maintenance_timer_(context.loop),
      expiry_timer_(context.loop),
      probe_timer_(context.loop),
      forget_timer_(context.loop) {
  context_.admin.Handle(http::method::put, "/v1/announcement",
                        [this](const http::admin_request& request, http::admin_reply reply) {
                          OnAnnouncement(request, std::move(reply));
                        });
}

void local_upstream::Start() {
  maintenance_timer_.StartPeriodic(internal::kMaintenancePeriod, [this] { Maintain(); });
}

void local_upstream::Stop() {
  maintenance_timer_.Cancel();
  expiry_timer_.Cancel();
  probe_timer_.Cancel();
  forget_timer_.Cancel();
}

kernel::incarnation local_upstream::NewIncarnation() {
  const kernel::incarnation by_clock(static_cast<std::uint64_t>(SinceEpochMs().count()));
  last_incarnation_ = std::max(by_clock, Next(last_incarnation_));
  return last_incarnation_;
}

void local_upstream::OnAnnouncement(const http::admin_request& request, http::admin_reply reply) {
  const auto body = internal::json::parse(request.body, nullptr, /*allow_exceptions=*/false);
  internal::announcement said;
  const bool decoded = !body.is_discarded() && codec::FromJson(body, said, "announcement");
  const auto state = internal::ParseState(said.state);
  if (!decoded || !state) {
    reply(internal::Answer(400, "the announcement is not of the expected form"));
    return;
  }
  if (said.service != context_.settings.proxy->service) {
    reply(internal::Answer(422, "this daemon serves another service"));
    return;
  }
  membership::upstream_record next;
  next.id = said.id;
  next.service = said.service;
  next.subset = said.subset;
  next.host = context_.settings.host;
  next.domain = context_.settings.failure_domain;
  next.daemon_data = context_.settings.proxy->data_listen;
  next.daemon_control = context_.settings.proxy->mesh_listen;
  next.slots = said.slots;
  next.connections = said.connections;
  const bool same_process = record_ && record_->id == next.id &&
                            started_at_ms_ == said.started_at_ms &&
                            !internal::IsRestart(said_state_, *state);
  if (record_ && !same_process) ReportCrash(*record_);
  started_at_ms_ = said.started_at_ms;
  next.incarnation = same_process ? record_->incarnation : NewIncarnation();
  if (!record_ || record_->id != next.id) share_ = admission::limit_share(next.id);
  said_state_ = *state;
  next.state = AnnouncedState();
  if (!membership::IsValid(next)) {
    reply(internal::Answer(422, "a name or a count is out of range"));
    return;
  }
  endpoint_ = said.endpoint;
  last_announcement_ = context_.clock.Now();
  const bool changed = !record_ || !(*record_ == next);
  record_ = next;
  if (changed) {
    Configure();
    SubmitAnnouncement();
  }
  reply(internal::Answer(200, "announced"));
}

// An upstream whose daemon has no share of the service's limit yet would refuse every request, so
// it is announced as starting until the share has grown.
membership::upstream_state local_upstream::AnnouncedState() const {
  using membership::upstream_state;
  if (draining_) return upstream_state::kDraining;
  const bool ready = said_state_ == upstream_state::kReady;
  const bool has_share = share_.Current(context_.clock.Now()) > kernel::request_count(0);
  const bool was_ready = record_ && record_->state == upstream_state::kReady;
  return ready && !has_share && !was_ready ? upstream_state::kStarting : said_state_;
}

void local_upstream::SubmitAnnouncement() {
  if (announcing_ || !record_) return;
  announcing_ = true;
  control_.Submit(control::announce_command{*record_}, [this,
                                                        sent = *record_](const auto& outcome) {
    announcing_ = false;
    const auto* announced = outcome ? std::get_if<control::announced_outcome>(&*outcome) : nullptr;
    if (announced == nullptr || !record_) return;
    if (announced->accepted) {
      logging::event(logging::event_id::kUpstreamJoined)
          .With("upstream", sent.id)
          .With("incarnation", sent.incarnation);
    } else if (record_->incarnation < announced->needed) {
      last_incarnation_ = announced->needed;
      record_->incarnation = announced->needed;
    }
    // What changed meanwhile, or was refused, goes out now.
    if (!(*record_ == sent)) SubmitAnnouncement();
  });
}

void local_upstream::Maintain() {
  if (!record_) return;
  const kernel::time_point now = context_.clock.Now();
  if (now - last_announcement_ > internal::kAnnouncementTimeout) {
    logging::event(logging::event_id::kUpstreamLeft)
        .With("upstream", record_->id)
        .With("reason", "no announcement");
    Leave();
    return;
  }
  control_.Renew({record_->id, record_->incarnation});
  Configure();
  record_->state = AnnouncedState();
  const auto& members = configuration_.held().members();
  const auto recorded = members.find(record_->id);
  if (recorded == members.end() || !(recorded->second == *record_)) SubmitAnnouncement();
}

void local_upstream::BeginDrain() {
  draining_ = true;
  if (record_) {
    record_->state = membership::upstream_state::kDraining;
    SubmitAnnouncement();
  }
  for (const admission::refused_ticket& refused : admission_.BeginDrain()) Refuse(refused);
}

void local_upstream::Leave() {
  if (!record_) return;
  control_.Submit(control::leave_command{record_->id, record_->incarnation}, [](const auto&) {});
  record_.reset();
}

void local_upstream::Configure() {
  if (!record_) return;
  const kernel::time_point now = context_.clock.Now();
  const distribution::subscriber& held = configuration_.held();
  const auto* service =
      table::FindRow<table::service_row>(held.rows(), table::KeyOf(record_->service));
  if (service == nullptr) return;
  const auto* limit = table::FindRow<table::limit_row>(held.rows(), table::KeyOf(service->limit));
  const auto* wait = table::FindRow<table::wait_row>(held.rows(), table::KeyOf(service->wait));
  if (limit == nullptr || wait == nullptr) return;
  std::vector<admission::share_member> sharers;
  for (const auto& [id, member] : held.members()) {
    const bool shares =
        member.service == record_->service && member.state != membership::upstream_state::kGone;
    if (shares) sharers.push_back({id, member.slots});
  }
  share_.Update(limit->service_in_flight, std::move(sharers), now);
  Admit(admission_.Configure(admission::admission_limits::From(*limit, *wait), record_->slots,
                             share_.Current(now), now));
}

void local_upstream::Run(local_request request) {
  if (!record_ || record_->state == membership::upstream_state::kStarting) {
    request.refused(outcome::refusal_reason::kNoUpstream);
    return;
  }
  if (record_->state == membership::upstream_state::kDraining) {
    request.refused(outcome::refusal_reason::kShuttingDown);
    return;
  }
  const kernel::time_point now = context_.clock.Now();
  const admission::ticket ticket(next_ticket_++);
  const admission::admission_result result =
      admission_.Submit(ticket, request.tenant, request.priority, request.deadline, now);
  if (result.displaced) Refuse(*result.displaced);
  if (result.state == admission::admission_state::kRefused) {
    request.refused(*result.reason);
    return;
  }
  if (result.state == admission::admission_state::kQueued) {
    request.exchange->OnCallerGone([this, ticket] {
      if (admission_.Cancel(ticket)) Refuse({ticket, outcome::refusal_reason::kDeadlinePassed});
    });
  }
  requests_.emplace(ticket, std::move(request));
  if (result.state == admission::admission_state::kAdmitted) Forward(ticket);
  ArmExpiry();
}

void local_upstream::Admit(const std::vector<admission::ticket>& tickets) {
  for (const admission::ticket ticket : tickets) Forward(ticket);
}

void local_upstream::Forward(admission::ticket ticket) {
  const auto found = requests_.find(ticket);
  if (found == requests_.end()) return;
  const local_request& request = found->second;
  http::forward_callbacks callbacks = request.callbacks;
  callbacks.on_done = [this, ticket](const http::forward_result& result) {
    OnDone(ticket, result);
  };
  const auto remaining = request.deadline.Remaining(context_.clock.Now());
  // The exchange may end at once and erase the request, so it is held here.
  const std::shared_ptr<http::exchange> exchange = request.exchange;
  exchange->ForwardTo(endpoint_, request.extra_headers, remaining, std::move(callbacks));
}

void local_upstream::OnDone(admission::ticket ticket, const http::forward_result& result) {
  const auto found = requests_.find(ticket);
  if (found == requests_.end()) return;
  const local_request request = std::move(found->second);
  requests_.erase(found);
  const bool broken = result.outcome == http::forward_status::kBrokenBeforeResponse ||
                      result.outcome == http::forward_status::kBrokenDuringResponse;
  if (broken && result.sent) NoteBroken(request.fingerprint);
  if (result.outcome == http::forward_status::kComplete) {
    completed_.OnCompleted(request.fingerprint, context_.clock.Now());
  }
  Admit(admission_.Release(ticket, context_.clock.Now()));
  ArmExpiry();
  request.callbacks.on_done(result);
}

void local_upstream::Refuse(const admission::refused_ticket& refused) {
  const auto found = requests_.find(refused.id);
  if (found == requests_.end()) return;
  const local_request request = std::move(found->second);
  requests_.erase(found);
  request.refused(refused.reason);
}

void local_upstream::ArmExpiry() {
  const auto next = admission_.NextExpiry();
  if (!next) {
    expiry_timer_.Cancel();
    return;
  }
  const kernel::time_point now = context_.clock.Now();
  const kernel::microseconds delay = std::max(*next - now, kernel::microseconds::zero());
  expiry_timer_.Start(delay, [this] {
    for (const auto& refused : admission_.Expire(context_.clock.Now())) Refuse(refused);
    ArmExpiry();
  });
}

void local_upstream::NoteBroken(kernel::fingerprint fingerprint) {
  if (broken_.empty()) probe_timer_.Start(internal::kCrashWindow, [this] { ProbeAfterBreak(); });
  broken_.push_back(fingerprint);
  forget_timer_.Start(internal::kRestartWindow, [this] { ForgetBroken(); });
}

void local_upstream::ForgetBroken() { broken_.clear(); }

// A broken connection alone does not tell a crash from a closed connection; a process that no
// longer accepts connections does.
void local_upstream::ProbeAfterBreak() {
  if (!record_ || broken_.empty()) return;
  probe_.Request(endpoint_, http::method::get, "/health", "", internal::kProbeTimeout,
                 [this, probed = *record_](const auto& answer) {
                   if (answer || answer.error().fault != http::http_fault::kConnectFailed) return;
                   ReportCrash(probed);
                   if (record_ && record_->incarnation == probed.incarnation) Leave();
                 });
}

void local_upstream::ReportCrash(const membership::upstream_record& crashed) {
  const auto suspects = completed_.Suspects(std::exchange(broken_, {}), context_.clock.Now());
  if (suspects.empty()) return;
  logging::event(logging::event_id::kUpstreamCrashed)
      .With("upstream", crashed.id)
      .With("suspects", suspects.size());
  control_.Submit(control::crash_command{crashed.id, crashed.incarnation, suspects},
                  [](const auto&) {});
}

}  // namespace cornelweir::plugins::proxy
