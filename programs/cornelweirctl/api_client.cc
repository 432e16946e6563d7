#include "programs/cornelweirctl/api_client.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/ssl/ssl_stream.hpp>
#include <memory>
#include <utility>

#include "cornelweir/settings.h"
#include "cornelweir/src/codec/json_depth.h"
#include "programs/cornelweirctl/ctl_error.h"

namespace cornelweir::ctl {

namespace beast_http = boost::beast::http;
using plain_stream = boost::beast::tcp_stream;
using tls_stream = boost::beast::ssl_stream<boost::beast::tcp_stream>;

api_client::api_client(boost::asio::io_context& loop, kernel::seeded_random& random,
                       std::vector<kernel::endpoint> control_hosts, retry_policy retry)
    : loop_(loop), random_(random), control_hosts_(std::move(control_hosts)), retry_(retry) {}

boost::leaf::result<void> api_client::UseTls(const tls_files& files) {
  namespace ssl = boost::asio::ssl;
  ssl::context context(ssl::context::tls_client);
  boost::system::error_code error;
  const auto refuse = [&](const std::string& file) {
    return boost::leaf::new_error(
        ctl_error{exit_code::kUsage, "cannot use TLS file '" + file + "': " + error.message()});
  };
  context.set_verify_mode(ssl::verify_peer);
  if (context.load_verify_file(files.authority, error)) return refuse(files.authority);
  if (context.use_certificate_chain_file(files.certificate, error)) {
    return refuse(files.certificate);
  }
  if (context.use_private_key_file(files.key, ssl::context::pem, error)) return refuse(files.key);
  tls_.emplace(std::move(context));
  return {};
}

boost::leaf::result<api_reply> api_client::Get(const std::string& target) {
  return Exchange(request(beast_http::verb::get, target, 11));
}

boost::leaf::result<api_reply> api_client::Post(const std::string& target,
                                                const codec::json& body) {
  request message(beast_http::verb::post, target, 11);
  message.set(beast_http::field::content_type, "application/json");
  try {
    message.body() = body.dump();
  } catch (const codec::json::exception&) {
    return boost::leaf::new_error(
        ctl_error{exit_code::kUsage, "a text of the change is not valid UTF-8; correct it"});
  }
  return Exchange(message);
}

boost::leaf::result<api_reply> api_client::GetFrom(const kernel::endpoint& host,
                                                   const std::string& target) {
  api_reply reply;
  const std::string reason = Attempt(host, request(beast_http::verb::get, target, 11), reply);
  if (reason.empty()) return reply;
  return boost::leaf::new_error(ctl_error{exit_code::kUnavailable, reason});
}

void api_client::Wait(kernel::milliseconds time) {
  boost::asio::steady_timer timer(loop_, time);
  bool over = false;
  timer.async_wait([&over](boost::system::error_code) { over = true; });
  RunUntil([&over] { return over; });
}

boost::leaf::result<api_reply> api_client::Exchange(const request& message) {
  if (control_hosts_.empty()) {
    return boost::leaf::new_error(ctl_error{
        exit_code::kUsage,
        "no control hosts are known; give --control 10.0.0.1:7000,... or set CORNELWEIR_CONTROL"});
  }
  std::vector<std::string> reasons(control_hosts_.size());
  for (int round = 0; round < retry_.rounds; ++round) {
    if (round > 0) Wait(WaitBefore(round));
    for (std::size_t offset = 0; offset < control_hosts_.size(); ++offset) {
      const std::size_t index = (preferred_ + offset) % control_hosts_.size();
      api_reply reply;
      reasons[index] = Attempt(control_hosts_[index], message, reply);
      if (!reasons[index].empty()) continue;
      preferred_ = index;
      return reply;
    }
  }
  std::string text = "no control host gave an answer:\n";
  for (std::size_t index = 0; index < reasons.size(); ++index) {
    text += "  " + control_hosts_[index].value() + ": " + reasons[index] + "\n";
  }
  return boost::leaf::new_error(
      ctl_error{exit_code::kUnavailable,
                text + "Try again later, or name other control hosts with --control."});
}

std::string api_client::Attempt(const kernel::endpoint& host, const request& original,
                                api_reply& reply) {
  const auto address = settings::ParseEndpoint(host.value());
  if (!address) return "not an IP address and port";
  request message = original;
  message.set(beast_http::field::host, host.value());
  message.set(beast_http::field::user_agent, "cornelweirctl");
  message.keep_alive(false);
  message.prepare_payload();
  const auto outcome = std::make_shared<attempt>();
  const auto finish = [outcome](boost::system::error_code error, http_reply answer) {
    *outcome = {true, error, std::move(answer)};
  };
  if (tls_) {
    std::make_shared<http_exchange<tls_stream>>(loop_, *tls_)
        ->Start(*address, std::move(message), retry_.attempt_timeout, finish);
  } else {
    std::make_shared<http_exchange<plain_stream>>(loop_)->Start(*address, std::move(message),
                                                                retry_.attempt_timeout, finish);
  }
  RunUntil([&] { return outcome->done; });
  if (!outcome->done) return "the loop was stopped";
  if (outcome->error) return outcome->error.message();
  reply.status = outcome->reply.status;
  if (codec::IsNestedTooDeeply(outcome->reply.body)) return "the answer is nested too deeply";
  reply.body = codec::json::parse(outcome->reply.body, nullptr, /*allow_exceptions=*/false);
  if (reply.status >= 500) {
    const bool explained =
        reply.body.is_object() && reply.body.contains("reason") && reply.body["reason"].is_string();
    return explained ? reply.body["reason"].get<std::string>()
                     : "HTTP status " + std::to_string(reply.status);
  }
  if (!reply.body.is_object()) {
    return "the answer with HTTP status " + std::to_string(reply.status) + " is not a JSON object";
  }
  return "";
}

template <class Finished>
void api_client::RunUntil(Finished finished) {
  if (loop_.stopped()) loop_.restart();
  // run_one() sleeps until there is work. It returns 0 only if the loop was stopped.
  while (!finished() && loop_.run_one() > 0) {
  }
}

kernel::milliseconds api_client::WaitBefore(int round) {
  kernel::milliseconds bound = retry_.first_wait;
  for (int doubled = 1; doubled < round; ++doubled) bound *= 2;
  bound = std::min(bound, retry_.longest_wait);
  const auto wait = kernel::UniformBelow(random_, static_cast<std::uint64_t>(bound.count()) + 1);
  return kernel::milliseconds(static_cast<kernel::milliseconds::rep>(wait));
}

}  // namespace cornelweir::ctl
