// The part of upstream_dispatcher that learns which upstream to use, and within which limits.

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <utility>

#include "cornelweir/logging.h"
#include "plugins/sidecar/upstream_dispatcher.h"
#include "plugins/wall_clock.h"

namespace cornelweir::plugins::sidecar {
namespace internal {

// An upstream that has not announced itself is probed for this long after the daemon's start.
constexpr kernel::milliseconds kMaxProbeTime{1'600};
constexpr kernel::milliseconds kProbeTimeout{500};
// The period between probes grows to this once kMaxProbeTime has passed.
constexpr kernel::milliseconds kMaxProbePeriod{1'000};
// Number of slots of an upstream that a probe found and whose number is not known yet. A full
// upstream may reset the connection of a request, whose outcome is then unknown.
constexpr std::int64_t kAssumedSlots = 1;

}  // namespace internal

namespace {

// Whether the known upstream drains, or has said that it leaves, and the described process is not a
// later one.
template <class Known, class Described>
bool HasLeft(const std::optional<Known>& known, const Described& described) {
  return known && known->draining && known->id == described.id &&
         described.started_at <= known->started_at;
}

}  // namespace

// Announcements may arrive late and in any order, also from an earlier process with the same id.
bool upstream_dispatcher::IsOutdated(const membership::upstream_announcement& announcement) const {
  const auto order = [](const membership::upstream_announcement& state) {
    return std::tuple(state.started_at, state.sequence);
  };
  if (unproven_ && unproven_->id == announcement.id && order(announcement) < order(*unproven_)) {
    return true;
  }
  if (HasLeft(announced_, announcement) && !announcement.draining) return true;
  if (!last_announced_) return false;
  if (announcement.started_at != last_announced_->started_at) {
    return announcement.started_at < last_announced_->started_at;
  }
  if (announcement.id != last_announced_->id) return false;
  // An upstream process that drains or was withdrawn does not become available again.
  return announcement.sequence < last_announced_->sequence ||
         (last_announced_->draining && !announcement.draining);
}

// Whether the announcement is from the upstream process that is known already.
bool upstream_dispatcher::IsSameProcess(
    const membership::upstream_announcement& announcement) const {
  if (last_announced_) {
    return last_announced_->id == announcement.id &&
           last_announced_->started_at == announcement.started_at;
  }
  return announced_ && announced_->id == announcement.id;
}

void upstream_dispatcher::Restore(const membership::announced_upstream& upstream) {
  const auto order = [](const membership::announced_upstream& state) {
    return std::tuple(state.started_at, state.sequence, state.draining);
  };
  if (last_announced_ && order(*last_announced_) >= order(upstream)) return;
  const bool has_left = HasLeft(announced_, upstream) || HasLeft(last_announced_, upstream);
  last_announced_ = upstream;
  last_announced_->draining |= has_left;
  if (announced_ && announced_->id != upstream.id) return;
  rate_limit_known_ = true;
  // What a response has stated since the restart is newer.
  SetRateLimit(queue_.rate_limit() ? queue_.rate_limit() : upstream.rate_limit);
  if (!announced_) return;
  announced_->started_at = upstream.started_at;
  announced_->slots = upstream.slots;
  announced_->draining = last_announced_->draining;
  announced_->version = upstream.version;
  OnStateChanged("restored");
}

announcement_result upstream_dispatcher::Announce(
    const membership::upstream_announcement& announcement) {
  if (announcement.address != context_.settings.sidecar->upstream || announcement.slots < 1) {
    return announcement_result::kRefused;
  }
  if (IsOutdated(announcement)) return announcement_result::kOutdated;
  if (NeedsHealthResponse(announcement)) {
    AwaitHealthResponse(announcement);
  } else {
    Use(announcement);
  }
  return announcement_result::kAccepted;
}

bool upstream_dispatcher::NeedsHealthResponse(
    const membership::upstream_announcement& announcement) const {
  if (announcement.draining || (announced_ && IsSameProcess(announcement))) return false;
  return !trust_.Suffices(context_.pauses.InputArrival(Now()));
}

void upstream_dispatcher::AwaitHealthResponse(
    const membership::upstream_announcement& announcement) {
  const bool is_new = !unproven_ || unproven_->id != announcement.id ||
                      unproven_->started_at != announcement.started_at;
  unproven_ = announcement;
  unproven_heard_at_ = Now();
  if (is_new) {
    logging::event(logging::event_id::kUpstreamUnproven)
        .With("upstream", announcement.id)
        .With("service", announcement.service)
        .With("sequence", announcement.sequence);
    // A probe that is under way may have been answered before the upstream left.
    DiscardProbe();
    probe_period_ = kMinProbePeriod;
  }
  StartProbing();
}

void upstream_dispatcher::Use(const membership::upstream_announcement& announcement) {
  if (unproven_ && (!announcement.draining || unproven_->id == announcement.id)) unproven_.reset();
  const bool is_first = !announced_ && !last_announced_;
  const bool replaced = !announced_ || announced_->id != announcement.id ||
                        announced_->started_at != announcement.started_at;
  const bool same_process = IsSameProcess(announcement);
  if (announcement.draining) crashes_.OnLeaving();
  if (replaced && !same_process) ReportCrash(crashes_.OnReplaced());
  const bool changed = replaced || unavailable_ || announced_->draining != announcement.draining ||
                       announced_->slots != announcement.slots ||
                       announced_->version != announcement.version ||
                       announced_->service != announcement.service;
  if (replaced) client_.CloseIdleConnections();
  if (replaced && !same_process) speed_.Reset();
  announced_ = announcement;
  last_announced_ = {announcement.id,     announcement.started_at, announcement.sequence,
                     announcement.slots,  announcement.draining,   queue_.rate_limit(),
                     announcement.version};
  warmed_up_at_ = Now() + announcement.warm_up;
  unavailable_ = false;
  connect_failures_ = 0;
  if (!same_process) {
    rate_limit_known_ = !is_first || announcement.started_at > started_at_ms_;
    SetRateLimit(std::nullopt);
  }
  if (changed) OnStateChanged(replaced ? "announced" : "state");
}

// When only the daemon restarts, its upstream keeps running and may not announce itself for a
// while. The health response contains the upstream's id, so requests need not wait for the
// announcement. The service from the settings is reliable only shortly after the start; later
// another upstream may have the address.
std::optional<kernel::service_name> upstream_dispatcher::ServiceToProbe() const {
  if (shutting_down_) return std::nullopt;
  // An upstream that is silent for this long has ended.
  if (unproven_ && Now() - unproven_heard_at_ <= announcement_trust::kMaxAnnouncementDelay) {
    return unproven_->service;
  }
  if (announced_ || Now() - started_at_ > internal::kMaxProbeTime) return std::nullopt;
  return context_.settings.sidecar->service;
}

void upstream_dispatcher::StartProbing() {
  if (!probing_) SendProbe();
}

void upstream_dispatcher::SendProbe() {
  const auto service = ServiceToProbe();
  const std::string health_path = service && health_path_ ? health_path_(*service) : std::string();
  probing_ = !health_path.empty();
  if (!probing_) return;
  const http::whole_request probe{
      "GET", health_path, {{"Host", context_.settings.sidecar->upstream.value()}}, ""};
  client_.Send(
      probe, internal::kProbeTimeout,
      [this](const http::whole_response& response) {
        // A late copy of the response to a request carries the id of that request.
        return dialect_.has_request_id(response) ? http::response_match::kStale
                                                 : http::response_match::kMatched;
      },
      [this, number = ++probe_number_](const http::upstream_result& result) {
        if (number == probe_number_) OnProbeResult(result);
      });
}

void upstream_dispatcher::DiscardProbe() {
  ++probe_number_;
  probe_timer_.Cancel();
  probing_ = false;
}

void upstream_dispatcher::ScheduleProbe() {
  probing_ = true;
  probe_timer_.Start(probe_period_, [this] { SendProbe(); });
  if (Now() - started_at_ > internal::kMaxProbeTime) {
    probe_period_ = std::min(2 * probe_period_, internal::kMaxProbePeriod);
  }
}

void upstream_dispatcher::OnProbeResult(const http::upstream_result& result) {
  const kernel::upstream_id id =
      result.response ? dialect_.healthy_upstream(*result.response) : kernel::upstream_id();
  if (!id.value().empty()) OnHealthResponse(id, dialect_.read_notice(*result.response));
  ScheduleProbe();
}

void upstream_dispatcher::OnHealthResponse(const kernel::upstream_id& id,
                                           const upstream_notice& notice) {
  trust_.OnHealthResponse();
  // If another process has the address, the announcement was late.
  const auto proven = std::exchange(unproven_, std::nullopt);
  if (!proven || proven->id != id) {
    if (!announced_) UseWithoutAnnouncement(id, notice);
    return;
  }
  membership::upstream_announcement announcement = *proven;
  announcement.draining |= notice.leaving;
  Use(announcement);
  if (!notice.rate_limit) return;
  rate_limit_known_ = true;
  SetRateLimit(notice.rate_limit);
}

void upstream_dispatcher::UseWithoutAnnouncement(const kernel::upstream_id& id,
                                                 const upstream_notice& notice) {
  if (Now() - started_at_ > internal::kMaxProbeTime + internal::kProbeTimeout) return;
  announced_.emplace();
  announced_->id = id;
  announced_->address = context_.settings.sidecar->upstream;
  announced_->service = context_.settings.sidecar->service;
  announced_->slots = internal::kAssumedSlots;
  announced_->draining = notice.leaving;
  // Only that the process runs already is known. A later one with the same id has a later start.
  announced_->started_at = kernel::incarnation(static_cast<std::uint64_t>(SinceEpochMs().count()));
  // An upstream that has announced its end may not repeat it in its health response.
  if (last_announced_ && last_announced_->id == id) {
    last_announced_->draining |= announced_->draining;
    announced_->started_at = last_announced_->started_at;
    announced_->slots = last_announced_->slots;
    announced_->draining = last_announced_->draining;
    announced_->version = last_announced_->version;
  } else {
    rate_limit_known_ = notice.rate_limit.has_value();
    SetRateLimit(notice.rate_limit);
  }
  OnStateChanged("healthy");
}

void upstream_dispatcher::Withdraw(const kernel::upstream_id& id, std::string_view reason) {
  const auto has_id = [&](const auto& known) { return known && known->id == id; };
  if (has_id(unproven_)) {
    // The process is remembered, so that its further announcements are outdated.
    membership::upstream_announcement left = *unproven_;
    left.draining = true;
    Use(left);
  } else if (!has_id(announced_) && !has_id(last_announced_)) {
    trust_.OnUnknownLeft(Now());
    // A probe that is under way may have been answered before the upstream left.
    DiscardProbe();
    ScheduleProbe();
  }
  if (has_id(last_announced_)) last_announced_->draining = true;
  if (!has_id(announced_) || announced_->draining) return;
  announced_->draining = true;
  crashes_.OnLeaving();
  OnStateChanged(reason);
}

// A limit ends with the first response that states none to a request that was sent after the last
// response that stated one: earlier requests may have run before the limit.
void upstream_dispatcher::OnNotice(const run& ended, const upstream_notice& notice) {
  if (!announced_ || announced_->id != ended.upstream ||
      ended.response_kind == upstream_response_kind::kOtherUpstream) {
    return;
  }
  if (notice.leaving) Withdraw(ended.upstream, "leaving");
  if (notice.rate_limit || ended.response_kind == upstream_response_kind::kResponse) {
    OnRateLimitKnown();
  }
  if (notice.rate_limit) {
    rate_limited_at_ = Now();
    SetRateLimit(notice.rate_limit);
  } else if (ended.response_kind == upstream_response_kind::kResponse &&
             ended.started_at > rate_limited_at_) {
    SetRateLimit(std::nullopt);
  }
}

// Posted, since a response is handled before its slot is released.
void upstream_dispatcher::OnRateLimitKnown() {
  if (std::exchange(rate_limit_known_, true)) return;
  context_.loop.Post([this] { OnStateChanged("rate limit known"); });
}

std::optional<membership::announced_upstream> upstream_dispatcher::LastAnnounced() const {
  return last_announced_;
}

void upstream_dispatcher::SetRateLimit(std::optional<kernel::request_rate> rate) {
  const bool changed = rate.has_value() != queue_.rate_limit().has_value();
  if (last_announced_) last_announced_->rate_limit = rate;
  RefuseQueuedIfClosed();
  StartAll(queue_.SetRateLimit(rate, Now()));
  if (changed) context_.loop.Post([this] { OnStateChanged("rate limit"); });
}

}  // namespace cornelweir::plugins::sidecar
