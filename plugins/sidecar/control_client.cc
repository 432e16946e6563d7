#include "plugins/sidecar/control_client.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "cornelweir/codec.h"
#include "cornelweir/logging.h"
#include "cornelweir/src/codec/direct_cbor.h"
#include "plugins/greeting.h"
#include "plugins/wall_clock.h"

namespace cornelweir::plugins::sidecar {
namespace internal {

constexpr kernel::milliseconds kTickPeriod{50};
constexpr kernel::milliseconds kReportPeriod{1'000};
// Delay between attempts to connect, to which up to the same time is added at random, so that many
// daemons do not reconnect at once.
constexpr kernel::milliseconds kRetryPeriod{60};
// How long an attempt to connect may take before the next host is tried. Doubled after each round
// of all hosts, since many daemons that connect at once may overload every host.
constexpr kernel::milliseconds kMinConnectTimeout{250};
// A host that sends at least this much between two ticks is transferring a large message.
constexpr std::uint64_t kProgressBytes = 1024;
// A host that sends bytes, but has not confirmed its leader for this long, is abandoned. At 2.6
// Mbit/s a policy of 1 MB is transferred in 3 s.
constexpr kernel::milliseconds kMaxTransferTime{5'000};

boost::leaf::result<policy::policy_delta> ReadDelta(std::string_view deflated) {
  BOOST_LEAF_AUTO(bytes, codec::Inflate(deflated, codec::kMaxStateBytes));
  return codec::DecodeDirectly<policy::policy_delta>(bytes, codec::kMaxStateBytes);
}

}  // namespace internal

control_client::control_client(daemon_context& context, handlers callbacks)
    : context_(context),
      handlers_(std::move(callbacks)),
      timer_(context.loop),
      incarnation_(static_cast<std::uint64_t>(SinceEpochMs().count())) {
  AddSeeds();
  next_host_index_ = kernel::UniformBelow(context.random, candidate_hosts_.size());
}

void control_client::AddSeeds() {
  const settings::sidecar_settings& sidecar = *context_.settings.sidecar;
  for (const kernel::endpoint& seed : sidecar.seeds) {
    candidate_hosts_.push_back(settings::WithPort(seed, std::to_string(sidecar.control_port)));
  }
}

void control_client::Start() {
  outage_.Start(Now());
  Tick();
  timer_.StartPeriodic(internal::kTickPeriod, [this] { Tick(); });
}

void control_client::Stop() {
  timer_.Cancel();
  if (alive_) *alive_ = false;
  // What the upstream announced last is to reach the control host, from which the daemon gets it
  // back after a restart.
  if (link_) link_->CloseAfterDrain("the process is shutting down");
}

void control_client::BeginShutdown() {
  shutting_down_ = true;
  Report();
}

// Cycles through the hosts of the control group, then the seeds, since only a seed may lead to a
// group whose hosts were all replaced.
kernel::endpoint control_client::TakeNextHost() {
  kernel::endpoint next = candidate_hosts_[next_host_index_ % candidate_hosts_.size()];
  ++next_host_index_;
  return next;
}

void control_client::Connect() {
  host_ = TakeNextHost();
  alive_ = std::make_shared<bool>(true);
  connected_ = false;
  last_bytes_received_ = 0;
  activity_ = control_link_activity();
  link_end_ = control_link_end::kUnreachable;
  policy_parts_.Clear();
  last_progress_at_ = last_update_at_ = Now();
  transport::link_handlers callbacks;
  callbacks.opened = [this, alive = alive_](const std::shared_ptr<transport::link>& link) {
    if (!*alive) return;
    connected_ = true;
    link_end_ = control_link_end::kClosed;
    failed_attempts_ = 0;
    last_progress_at_ = Now();
    logging::event(logging::event_id::kControlHostConnected).With("host", host_);
    const protocol::report_message greeting =
        Greeting(protocol::process_role::kSidecar, context_.settings.host);
    link->Send(codec::Encode(greeting));
    Report();
    handlers_.link_changed(true);
  };
  callbacks.message = [this, alive = alive_](const std::shared_ptr<transport::link>&,
                                             std::string_view payload) {
    if (*alive) OnMessage(payload);
  };
  callbacks.closed = [this, alive = alive_](const std::shared_ptr<transport::link>&,
                                            const std::string& reason) {
    if (!*alive) return;
    outage_.OnLinkEnded(link_end_, activity_.reported());
    if (connected_) {
      LogLinkLost(reason);
    } else {
      ++failed_attempts_;
    }
    link_.reset();
    if (std::exchange(connected_, false)) handlers_.link_changed(false);
    retry_at_ =
        Now() + internal::kRetryPeriod +
        kernel::microseconds(kernel::UniformBelow(
            context_.random,
            static_cast<std::uint64_t>(kernel::microseconds(internal::kRetryPeriod).count())));
  };
  link_ =
      transport::link::Connect(context_.loop.context(), host_, context_.tls, std::move(callbacks));
}

kernel::microseconds control_client::ConnectTimeout() const {
  kernel::microseconds timeout = internal::kMinConnectTimeout;
  for (std::size_t round = failed_attempts_ / candidate_hosts_.size(); round > 0; --round) {
    if (timeout >= protocol::kFleetTimeout) break;
    timeout *= 2;
  }
  return std::min(timeout, kernel::microseconds(protocol::kFleetTimeout));
}

void control_client::Disconnect(const std::string& reason) {
  if (link_) link_->Close(reason);
}

void control_client::LogLinkLost(const std::string& reason) const {
  const auto age = [now = Now()](const std::optional<kernel::time_point>& at) {
    return at ? std::to_string(kernel::ToMilliseconds(now - *at).count()) : "none";
  };
  const std::optional<protocol::currency_report>& reported = activity_.reported();
  const bool has_age = reported && reported->confirmed_age;
  logging::event(logging::event_id::kControlHostLost)
      .With("host", host_)
      .With("reason", reason)
      .With("bytes_ms", age(activity_.bytes_at()))
      .With("update_ms", age(activity_.update_at()))
      .With("confirmed_ms", age(activity_.confirmed_at()))
      .With("host_reason", reported ? protocol::CurrencyStateName(reported->state) : "none")
      .With("host_silent_ms", has_age ? std::to_string(reported->confirmed_age->count()) : "none");
}

void control_client::Tick() {
  const kernel::time_point now = Now();
  // After a pause of this process, what hosts sent meanwhile may not have been read yet.
  const kernel::time_point input_until = context_.pauses.InputArrival(now);
  outage_.Tick(input_until);
  if (!link_) {
    if (now >= retry_at_) Connect();
    return;
  }
  const kernel::microseconds timeout =
      connected_ ? kernel::microseconds(protocol::kFleetTimeout) : ConnectTimeout();
  if (link_->bytes_received() >= last_bytes_received_ + internal::kProgressBytes &&
      now - last_update_at_ < internal::kMaxTransferTime) {
    last_progress_at_ = now;
  }
  if (link_->bytes_received() > last_bytes_received_) activity_.OnBytes(now);
  last_bytes_received_ = link_->bytes_received();
  if (input_until - last_progress_at_ > timeout) {
    if (!connected_) return Disconnect("no connection");
    link_end_ = activity_.Fault(input_until, timeout);
    Disconnect(link_end_ == control_link_end::kSilent ? "silent" : "not current");
    return;
  }
  if (connected_ && now - reported_at_ >= internal::kReportPeriod) Report();
}

void control_client::Report() {
  if (!link_ || !connected_) return;
  reported_at_ = Now();
  protocol::daemon_report report;
  report.self.daemon = self();
  report.self.failure_domain = context_.settings.failure_domain;
  report.self.service = handlers_.service();
  report.self.incarnation = incarnation_;
  report.self.sequence = ++sequence_;
  report.self.leaving = shutting_down_;
  report.self.upstream = handlers_.last_upstream();
  if (policy_) report.enforced_policy = policy_->version;
  report.enforced_rollouts = handlers_.rollouts_revision();
  link_->Send(codec::EncodeDirectly(protocol::report_message{report}));
}

bool control_client::RequestQuota(const quota::quota_request& request) {
  return connected_ && link_ &&
         link_->Send(codec::EncodeDirectly(protocol::report_message{request}));
}

void control_client::Report(const rollout::rollout_sample& sample) {
  if (link_ && connected_) link_->Send(codec::EncodeDirectly(protocol::report_message{sample}));
}

void control_client::Report(const protocol::quarantine_report& report) {
  if (link_ && connected_) link_->Send(codec::EncodeDirectly(protocol::report_message{report}));
}

void control_client::OnMessage(std::string_view payload) {
  const auto message =
      codec::DecodeDirectly<protocol::fleet_message>(payload, codec::kMaxMessageBytes);
  if (!message) {
    Disconnect("malformed message");
    return;
  }
  if (const auto* update = std::get_if<protocol::fleet_update>(&message.value())) {
    OnUpdate(*update);
  } else if (const auto* grant = std::get_if<quota::quota_grant>(&message.value())) {
    handlers_.quota_granted(*grant);
  }
}

void control_client::OnUpdate(const protocol::fleet_update& update) {
  if (update.superseded_incarnation >= incarnation_) {
    incarnation_ = Next(update.superseded_incarnation);
    Report();
  }
  activity_.OnUpdate(update, Now());
  if (!update.leader_confirmed) return;
  last_progress_at_ = last_update_at_ = Now();
  outage_.OnConfirmed(last_update_at_);
  if (!update.rollouts.empty()) {
    handlers_.rollouts_received(update.rollouts);
    Report();
  }
  if (update.quarantined) handlers_.quarantine_received(*update.quarantined);
  handlers_.confirmed();
  if (update.last_upstream) handlers_.upstream_restored(*update.last_upstream);
  if (!update.control_hosts.empty()) {
    candidate_hosts_ = update.control_hosts;
    AddSeeds();
  }
  if (!update.policy_delta.bytes.empty()) {
    if (!ReadPolicy(update.policy_delta.bytes)) return;
  } else if (update.policy_part) {
    const auto whole = policy_parts_.Add(*update.policy_part);
    if (whole && !ReadPolicy(*whole)) return;
  }
  // After a pause of this process, the message may be as old as the pause.
  if (policy_ && policy_->version >= update.newest_policy) {
    handlers_.policy_confirmed(context_.pauses.InputArrival(Now()));
  }
  ApplyRoster(update);
}

bool control_client::ReadPolicy(std::string_view deflated) {
  const auto delta = internal::ReadDelta(deflated);
  if (!delta) {
    Disconnect("malformed policy");
    return false;
  }
  ApplyPolicy(delta.value());
  return true;
}

void control_client::ApplyPolicy(const policy::policy_delta& delta) {
  const policy::policy_table empty;
  if (policy_ && delta.version <= policy_->version) return;
  const policy::policy_table& base =
      delta.base == kernel::policy_version() || !policy_ ? empty : *policy_;
  auto next = policy::Apply(base, delta);
  if (!next) {
    logging::event(logging::event_id::kVersionRefused)
        .With("base", delta.base)
        .With("version", delta.version);
    // On a new link the host starts from the version that this daemon reports.
    Disconnect("a policy does not fit");
    return;
  }
  policy_ = std::make_shared<const policy::policy_table>(*std::move(next));
  logging::event(logging::event_id::kPolicyApplied)
      .With("version", policy_->version)
      .With("base", delta.base)
      .With("routes", policy_->routes.size())
      .With("host", host_);
  handlers_.policy_changed();
}

void control_client::ApplyRoster(const protocol::fleet_update& update) {
  if (update.present.empty() && update.gone.empty()) return;
  // Entries from an earlier control host are kept until a host reports them as gone, since a host
  // that has just started does not know all daemons yet. Links to stopped daemons fail by
  // themselves.
  for (const membership::roster_entry& entry : update.present) roster_[entry.daemon] = entry;
  for (const kernel::endpoint& gone : update.gone) roster_.erase(gone);
  handlers_.roster_changed();
}

}  // namespace cornelweir::plugins::sidecar
