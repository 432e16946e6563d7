#include "plugins/proxy/local_upstream.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>

#include "cornelweir/codec.h"
#include "cornelweir/logging.h"
#include "plugins/fingerprint_text.h"
#include "plugins/proxy/request_headers.h"
#include "plugins/wall_clock.h"

namespace cornelweir::plugins::proxy {
namespace internal {

using codec::json;

constexpr kernel::milliseconds kMaintenancePeriod{1'000};
// Upstreams announce themselves every second; one that is silent for longer is removed.
constexpr kernel::milliseconds kAnnouncementTimeout{4'000};
constexpr kernel::milliseconds kProbeTimeout{500};

// The body of an upstream's announcement.
struct announcement {
  kernel::upstream_id id;
  kernel::service_name service;
  kernel::subset_name subset;
  kernel::endpoint endpoint;
  kernel::request_count slots;
  kernel::request_count connections;
  std::string state;
  // The process's start time by its own clock. A changed value means that the process restarted.
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

std::optional<membership::upstream_state> ParseUpstreamState(std::string_view name) {
  if (name == "starting") return membership::upstream_state::kStarting;
  if (name == "ready") return membership::upstream_state::kReady;
  if (name == "draining") return membership::upstream_state::kDraining;
  return std::nullopt;
}

// Whether the state moved backwards, which only a new process does.
bool IsRestart(membership::upstream_state before, membership::upstream_state after) {
  return static_cast<int>(after) < static_cast<int>(before);
}

http::admin_response ResultResponse(int status, std::string_view text) {
  http::admin_response response;
  response.status = status;
  response.body = json{{"result", std::string(text)}}.dump() + "\n";
  return response;
}

}  // namespace internal

local_upstream::local_upstream(daemon_context& context, control_client& client,
                               subscription& table_subscription)
    : context_(context),
      control_client_(client),
      subscription_(table_subscription),
      pool_(context.loop),
      probe_client_(context.loop),
      limit_share_(kernel::upstream_id()),
      maintenance_timer_(context.loop),
      queue_expiry_timer_(context.loop),
      probe_timer_(context.loop) {
  context_.admin.Handle(http::method::put, "/v1/announcement",
                        [this](const http::admin_request& request, http::admin_reply reply) {
                          OnAnnouncement(request, std::move(reply));
                        });
}

void local_upstream::Start() {
  maintenance_timer_.StartPeriodic(internal::kMaintenancePeriod, [this] { RunMaintenance(); });
}

void local_upstream::Stop() {
  maintenance_timer_.Cancel();
  queue_expiry_timer_.Cancel();
  probe_timer_.Cancel();
}

kernel::incarnation local_upstream::NewIncarnation() {
  const kernel::incarnation clock_incarnation(static_cast<std::uint64_t>(SinceEpochMs().count()));
  last_incarnation_ = std::max(clock_incarnation, Next(last_incarnation_));
  return last_incarnation_;
}

void local_upstream::OnAnnouncement(const http::admin_request& request, http::admin_reply reply) {
  const auto body = internal::json::parse(request.body, nullptr, /*allow_exceptions=*/false);
  internal::announcement received;
  const bool decoded = !body.is_discarded() && codec::FromJson(body, received, "announcement");
  const auto state = internal::ParseUpstreamState(received.state);
  if (!decoded || !state) {
    reply(internal::ResultResponse(400, "malformed announcement"));
    return;
  }
  if (received.service != context_.settings.proxy->service) {
    reply(internal::ResultResponse(422, "this daemon serves another service"));
    return;
  }
  membership::upstream_record new_record;
  new_record.id = received.id;
  new_record.service = received.service;
  new_record.subset = received.subset;
  new_record.host = context_.settings.host;
  new_record.domain = context_.settings.failure_domain;
  new_record.daemon_data = context_.settings.proxy->data_listen;
  new_record.daemon_control = context_.settings.proxy->mesh_listen;
  new_record.slots = received.slots;
  new_record.connections = received.connections;
  const bool same_process = record_ && record_->id == new_record.id &&
                            started_at_ms_ == received.started_at_ms &&
                            !internal::IsRestart(reported_state_, *state);
  if (record_ && !same_process) {
    ReportCrash(*record_, crash_detector_.OnReplaced(context_.clock.Now()).requests);
  }
  if (*state == membership::upstream_state::kDraining) crash_detector_.OnLeaving();
  started_at_ms_ = received.started_at_ms;
  new_record.incarnation = same_process ? record_->incarnation : NewIncarnation();
  if (!record_ || record_->id != new_record.id) {
    limit_share_ = admission::limit_share(new_record.id);
  }
  reported_state_ = *state;
  new_record.state = StateToAnnounce();
  if (!membership::IsValid(new_record)) {
    reply(internal::ResultResponse(422, "a name or a count is out of range"));
    return;
  }
  endpoint_ = received.endpoint;
  last_announcement_ = context_.clock.Now();
  const bool changed = !record_ || !(*record_ == new_record);
  record_ = new_record;
  if (changed) {
    Configure();
    SubmitAnnouncement();
  }
  reply(internal::ResultResponse(200, "announced"));
}

// A daemon without a share of the service's limit refuses every request, so its upstream is
// announced as starting until the share is above zero.
membership::upstream_state local_upstream::StateToAnnounce() const {
  using membership::upstream_state;
  if (draining_) return upstream_state::kDraining;
  const bool ready = reported_state_ == upstream_state::kReady;
  const bool has_share = limit_share_.Current(context_.clock.Now()) > kernel::request_count(0);
  const bool was_ready = record_ && record_->state == upstream_state::kReady;
  return ready && !has_share && !was_ready ? upstream_state::kStarting : reported_state_;
}

void local_upstream::SubmitAnnouncement() {
  if (announcement_in_flight_ || !record_) return;
  announcement_in_flight_ = true;
  control_client_.Submit(
      control::announce_command{*record_}, [this, submitted = *record_](const auto& outcome) {
        announcement_in_flight_ = false;
        const auto* announced =
            outcome ? std::get_if<control::announced_outcome>(&*outcome) : nullptr;
        if (announced == nullptr || !record_) return;
        if (announced->accepted) {
          logging::event(logging::event_id::kUpstreamJoined)
              .With("upstream", submitted.id)
              .With("incarnation", submitted.incarnation);
        } else if (record_->incarnation < announced->needed) {
          last_incarnation_ = announced->needed;
          record_->incarnation = announced->needed;
        }
        // Announces again if the record changed in the meantime or was refused.
        if (!(*record_ == submitted)) SubmitAnnouncement();
      });
}

void local_upstream::RunMaintenance() {
  if (!record_) return;
  const kernel::time_point now = context_.clock.Now();
  if (now - last_announcement_ > internal::kAnnouncementTimeout) {
    logging::event(logging::event_id::kUpstreamLeft)
        .With("upstream", record_->id)
        .With("reason", "no announcement");
    Leave();
    return;
  }
  control_client_.Renew({record_->id, record_->incarnation});
  Configure();
  record_->state = StateToAnnounce();
  const auto& members = subscription_.subscriber().members();
  const auto announced_member = members.find(record_->id);
  if (announced_member == members.end() || !(announced_member->second == *record_)) {
    SubmitAnnouncement();
  }
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
  control_client_.Submit(control::leave_command{record_->id, record_->incarnation},
                         [](const auto&) {});
  record_.reset();
}

void local_upstream::Configure() {
  if (!record_) return;
  const kernel::time_point now = context_.clock.Now();
  const distribution::subscriber& subscriber = subscription_.subscriber();
  const auto* service =
      table::FindRow<table::service_row>(subscriber.rows(), table::KeyOf(record_->service));
  if (service == nullptr) return;
  const auto* limit =
      table::FindRow<table::limit_row>(subscriber.rows(), table::KeyOf(service->limit));
  const auto* wait =
      table::FindRow<table::wait_row>(subscriber.rows(), table::KeyOf(service->wait));
  if (limit == nullptr || wait == nullptr) return;
  std::vector<admission::share_member> share_members;
  for (const auto& [id, member] : subscriber.members()) {
    const bool shares_limit =
        member.service == record_->service && member.state != membership::upstream_state::kGone;
    if (shares_limit) share_members.push_back({id, member.slots});
  }
  limit_share_.Update(limit->service_in_flight, std::move(share_members), now);
  ForwardAdmitted(admission_.Configure(admission::admission_limits::From(*limit, *wait),
                                       record_->slots, limit_share_.Current(now), now));
}

void local_upstream::Run(local_request request) {
  if (!record_ || record_->state == membership::upstream_state::kStarting) {
    request.on_refused(outcome::refusal_reason::kNoUpstream);
    return;
  }
  if (record_->state == membership::upstream_state::kDraining) {
    request.on_refused(outcome::refusal_reason::kShuttingDown);
    return;
  }
  const kernel::time_point now = context_.clock.Now();
  const admission::ticket ticket(next_ticket_++);
  const admission::admission_result result =
      admission_.Submit(ticket, request.workspace, request.priority, request.deadline, now);
  if (result.displaced) Refuse(*result.displaced);
  if (result.state == admission::admission_state::kRefused) {
    request.on_refused(*result.reason);
    return;
  }
  if (result.state == admission::admission_state::kQueued) {
    request.exchange->OnCallerGone([this, ticket] {
      if (admission_.Cancel(ticket)) Refuse({ticket, outcome::refusal_reason::kDeadlinePassed});
    });
  }
  requests_.emplace(ticket, std::move(request));
  if (result.state == admission::admission_state::kAdmitted) Forward(ticket);
  ScheduleQueueExpiry();
}

void local_upstream::ForwardAdmitted(const std::vector<admission::ticket>& tickets) {
  for (const admission::ticket ticket : tickets) Forward(ticket);
}

void local_upstream::Forward(admission::ticket ticket) {
  const auto entry = requests_.find(ticket);
  if (entry == requests_.end()) return;
  const local_request& request = entry->second;
  http::forward_callbacks callbacks = request.callbacks;
  callbacks.on_done = [this, ticket](const http::forward_result& result) {
    OnDone(ticket, result);
  };
  const auto remaining = request.deadline.Remaining(context_.clock.Now());
  // The exchange may end before ForwardTo returns, which erases the request. This copy keeps the
  // exchange alive.
  const std::shared_ptr<http::exchange> exchange = request.exchange;
  exchange->ForwardTo(endpoint_, request.extra_headers, remaining, std::move(callbacks));
}

void local_upstream::OnDone(admission::ticket ticket, const http::forward_result& result) {
  const auto entry = requests_.find(ticket);
  if (entry == requests_.end()) return;
  const local_request request = std::move(entry->second);
  requests_.erase(entry);
  const bool broken = result.outcome == http::forward_status::kBrokenBeforeResponse ||
                      result.outcome == http::forward_status::kBrokenDuringResponse;
  if (broken && result.sent) RecordBrokenRequest(request.fingerprint);
  if (result.outcome == http::forward_status::kComplete) {
    crash_detector_.OnCompleted(request.fingerprint, context_.clock.Now());
  }
  ForwardAdmitted(admission_.Release(ticket, context_.clock.Now()));
  ScheduleQueueExpiry();
  request.callbacks.on_done(result);
}

void local_upstream::Refuse(const admission::refused_ticket& refused) {
  const auto entry = requests_.find(refused.id);
  if (entry == requests_.end()) return;
  const local_request request = std::move(entry->second);
  requests_.erase(entry);
  request.on_refused(refused.reason);
}

void local_upstream::ScheduleQueueExpiry() {
  const auto next_expiry = admission_.NextExpiry();
  if (!next_expiry) {
    queue_expiry_timer_.Cancel();
    return;
  }
  const kernel::time_point now = context_.clock.Now();
  const kernel::microseconds delay = std::max(*next_expiry - now, kernel::microseconds::zero());
  queue_expiry_timer_.Start(delay, [this] {
    for (const auto& refused : admission_.Expire(context_.clock.Now())) Refuse(refused);
    ScheduleQueueExpiry();
  });
}

// The end of an upstream that drains is no crash.
void local_upstream::RecordBrokenRequest(kernel::fingerprint fingerprint) {
  if (reported_state_ == membership::upstream_state::kDraining) return;
  crash_detector_.OnBroken(fingerprint, false, context_.clock.Now());
  if (probe_timer_.running()) return;
  probe_timer_.Start(quarantine::kCrashProbeDelay, [this] { ProbeUpstream(); });
}

void local_upstream::ProbeUpstream() {
  if (!record_) return;
  probe_client_.Request(
      endpoint_, http::method::get, "/health", "", internal::kProbeTimeout,
      [this, probed = *record_](const auto& response) {
        if (response || response.error().fault != http::http_fault::kConnectFailed) return;
        ReportCrash(probed, crash_detector_.OnRefused(context_.clock.Now()).requests);
        if (record_ && record_->incarnation == probed.incarnation) Leave();
      });
}

void local_upstream::ReportCrash(const membership::upstream_record& crashed,
                                 const std::vector<kernel::fingerprint>& suspects) {
  if (suspects.empty()) return;
  logging::event(logging::event_id::kUpstreamCrashed)
      .With("upstream", crashed.id)
      .With("service", crashed.service)
      .With("suspects", suspects.size())
      .With("fingerprints", JoinFingerprints(suspects));
  control_client_.Submit(control::crash_command{crashed.id, crashed.incarnation, suspects},
                         [](const auto&) {});
}

}  // namespace cornelweir::plugins::proxy
