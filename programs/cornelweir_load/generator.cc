#include "programs/cornelweir_load/generator.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace cornelweir::load {
namespace {

constexpr std::uint64_t kScale = 1'000'000;

http::pool_limits PoolLimits(const options& settings) {
  http::pool_limits limits;
  limits.connections = settings.connections;
  limits.waiters = settings.in_flight;
  return limits;
}

kernel::microseconds Seconds(double seconds) {
  return std::chrono::ceil<kernel::microseconds>(std::chrono::duration<double>(seconds));
}

}  // namespace

generator::generator(loop::event_loop& loop, options settings)
    : loop_(loop),
      settings_(std::move(settings)),
      random_(settings_.seed),
      client_(loop, PoolLimits(settings_)),
      timer_(loop) {
  for (const weighted_path& each : settings_.paths) total_weight_ += each.weight;
}

void generator::Start() {
  started_at_ = clock_.Now();
  SendDue();
}

bool generator::Chance(double share) {
  return static_cast<double>(kernel::UniformBelow(random_, kScale)) <
         share * static_cast<double>(kScale);
}

const std::string& generator::ChoosePath() {
  std::uint64_t at = kernel::UniformBelow(random_, total_weight_);
  for (const weighted_path& each : settings_.paths) {
    if (at < each.weight) return each.path;
    at -= each.weight;
  }
  return settings_.paths.back().path;
}

void generator::SendDue() {
  const auto elapsed = clock_.Now() - started_at_;
  const double seconds = std::chrono::duration<double>(elapsed).count();
  if (seconds >= settings_.duration_s) {
    timer_.Cancel();
    ended_ = true;
    return StopWhenIdle();
  }
  if (settings_.rate == 0) {
    while (in_flight_ < settings_.in_flight) Begin(clock_.Now());
    // Answers start the following requests; the timer only ends the run.
    if (!timer_.running()) SendAgainAt(started_at_ + Seconds(settings_.duration_s));
    return;
  }
  const auto due = static_cast<std::uint64_t>(seconds * settings_.rate) + 1;
  for (; due_ < due; ++due_) {
    if (in_flight_ >= settings_.in_flight) {
      report_.OnSkipped();
      continue;
    }
    // Latency counts from when the request was due, so that a stalled sender does not hide it.
    Begin(DueTime(due_));
  }
  SendAgainAt(DueTime(due_));
}

kernel::time_point generator::DueTime(std::uint64_t index) const {
  return started_at_ + Seconds(static_cast<double>(index) / settings_.rate);
}

void generator::SendAgainAt(kernel::time_point when) {
  const auto delay = std::max(when - clock_.Now(), kernel::microseconds(1));
  timer_.Start(delay, [this] { SendDue(); });
}

void generator::Begin(kernel::time_point due) {
  auto request = std::make_shared<pending_request>();
  request->number = ++numbers_;
  request->key = KeyOf(settings_.key_prefix, request->number);
  request->path = ChoosePath();
  request->workspace =
      "tenant-" + std::to_string(kernel::UniformBelow(random_, settings_.workspaces));
  request->post = Chance(settings_.post_share);
  request->target = kernel::UniformBelow(random_, settings_.targets.size());
  request->due = due;
  ++in_flight_;
  Send(request);
}

void generator::Send(const std::shared_ptr<pending_request>& request) {
  report_.OnSent();
  http::client_request message;
  message.target = request->path;
  message.headers.set("x-tenant", request->workspace);
  message.headers.set("x-request-id", IdOf(*request, request->attempt));
  if (request->post) {
    message.method = http::method::post;
    message.headers.set("idempotency-key", request->key);
    message.body = std::string(settings_.body_bytes, 'x');
  }
  client_.Send(settings_.targets[request->target], std::move(message),
               std::chrono::milliseconds(settings_.timeout_ms),
               [this, request](const http::http_result<http::client_response>& answer) {
                 OnAnswer(request, answer);
               });
}

void generator::OnAnswer(const std::shared_ptr<pending_request>& request,
                         const http::http_result<http::client_response>& answer) {
  if (answer) {
    report_.OnAnswer(*request, answer.value(), clock_.Now() - request->due);
    return End(*request);
  }
  report_.OnLost(*request, answer.error());
  if (request->attempt >= settings_.resend) return End(*request);
  ++request->attempt;
  report_.OnResent();
  request->target = (request->target + 1) % settings_.targets.size();
  Send(request);
}

void generator::End(const pending_request& request) {
  report_.OnEnd(request);
  --in_flight_;
  if (ended_) return StopWhenIdle();
  if (settings_.rate == 0) SendDue();
}

void generator::StopWhenIdle() {
  if (in_flight_ > 0) return;
  ended_at_ = clock_.Now();
  loop_.Stop();
}

}  // namespace cornelweir::load
