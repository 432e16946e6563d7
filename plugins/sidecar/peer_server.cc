#include "plugins/sidecar/peer_server.h"

#include <utility>
#include <variant>

#include "cornelweir/codec.h"
#include "cornelweir/logging.h"
#include "plugins/greeting.h"
#include "plugins/sidecar/data_frame.h"

namespace cornelweir::plugins::sidecar {

boost::leaf::result<void> peer_server::Listen() {
  transport::link_handlers handlers;
  handlers.message = [this](const std::shared_ptr<transport::link>& link,
                            std::string_view payload) { OnMessage(link, payload); };
  handlers.closed = [this](const std::shared_ptr<transport::link>& link, const std::string&) {
    OnClosed(link.get());
  };
  BOOST_LEAF_ASSIGN(listener_, transport::listener::Open(context_.loop.context(),
                                                         context_.settings.sidecar->peers_listen,
                                                         context_.tls, std::move(handlers)));
  return {};
}

void peer_server::Close() {
  if (listener_) listener_->Close();
}

void peer_server::OnMessage(const std::shared_ptr<transport::link>& link,
                            std::string_view payload) {
  session& from = sessions_[link.get()];
  if (!from.greeted) {
    const auto greeting = ReadGreeting(*link, payload, context_.tls != nullptr);
    if (!greeting) {
      link->Close("bad greeting");
      return;
    }
    from.greeted = true;
    from.link = link;
    SendData(*link, gate_.Report());
    return;
  }
  const auto frame = ReadData(payload);
  if (!frame) {
    logging::event(logging::event_id::kMessageRefused).With("reason", "malformed");
    link->Close("malformed message");
    return;
  }
  OnData(from, frame->message, frame->payload);
}

void peer_server::OnData(session& from, const protocol::data_message& message,
                         std::string_view payload) {
  if (const auto* run = std::get_if<protocol::run_request>(&message)) {
    running& added = from.runs[run->id];
    added.request = *run;
    added.body = std::string(payload);
    if (run->last) Begin(from, run->id);
  } else if (const auto* piece = std::get_if<protocol::body_piece>(&message)) {
    const auto found = from.runs.find(piece->id);
    if (found == from.runs.end() || found->second.complete) return;
    found->second.body.append(payload);
    if (piece->last) Begin(from, piece->id);
  } else if (const auto* cancel = std::get_if<protocol::cancel_request>(&message)) {
    bulk_.Cancel(from.link.get(), cancel->id);
    const auto found = from.runs.find(cancel->id);
    if (found == from.runs.end()) return;
    const running ended = std::move(found->second);
    from.runs.erase(found);
    if (ended.complete) gate_.Cancel(ended.ticket);
  } else if (const auto* probe = std::get_if<protocol::link_probe>(&message)) {
    SendData(*from.link, *probe);
  } else if (std::holds_alternative<protocol::body_piece_ack>(message)) {
    bulk_.OnTaken(from.link.get());
  }
}

void peer_server::Begin(session& from, kernel::call_id id) {
  running& begun = from.runs.at(id);
  begun.complete = true;
  begun.ticket = gate_.Run(std::move(begun.request), std::move(begun.body),
                           [this, link = std::weak_ptr(from.link), id](run_result result) {
                             Answer(link, id, std::move(result));
                           });
}

void peer_server::Answer(const std::weak_ptr<transport::link>& to, kernel::call_id id,
                         run_result result) {
  const auto link = to.lock();
  if (!link) return;
  const auto found = sessions_.find(link.get());
  if (found == sessions_.end() || found->second.runs.erase(id) == 0) return;
  if (!result.response) {
    SendData(*link, protocol::run_failed{id, result.failure, result.retry_after, gate_.Load()});
    return;
  }
  protocol::run_response response;
  response.id = id;
  response.status = result.response->status;
  response.headers = std::move(result.response->headers);
  response.load = gate_.Load();
  if (!bulk_sender::IsLarge(result.response->body.size())) {
    SendWithBody(*link, std::move(response), result.response->body);
    return;
  }
  response.last = false;
  SendData(*link, std::move(response));
  bulk_.Send(link, id, std::move(result.response->body));
}

// Requests that came on the link have nobody to answer to.
void peer_server::OnClosed(const transport::link* link) {
  const auto found = sessions_.find(link);
  if (found == sessions_.end()) return;
  bulk_.OnClosed(link);
  const auto runs = std::move(found->second.runs);
  sessions_.erase(found);
  for (const auto& [id, ended] : runs) {
    if (ended.complete) gate_.Cancel(ended.ticket);
  }
}

void peer_server::ReportUpstream() {
  const protocol::upstream_report report = gate_.Report();
  for (auto& [key, session] : sessions_) {
    if (session.greeted) SendData(*session.link, report);
  }
}

}  // namespace cornelweir::plugins::sidecar
