#include "cornelweir/src/transport/websocket_codec.h"

#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

namespace cornelweir::transport::internal {
namespace {

// Each connection of the library has a buffer of this size; bytes only pass through it.
constexpr std::size_t kCodecBufferBytes = 1024;

// The library asks for this name.
// NOLINTBEGIN(readability-identifier-naming)
struct server_config : websocketpp::config::core {
  static const std::size_t connection_read_buffer_size = kCodecBufferBytes;
};
struct client_config : websocketpp::config::core_client {
  static const std::size_t connection_read_buffer_size = kCodecBufferBytes;
};
// NOLINTEND(readability-identifier-naming)

using server_endpoint = websocketpp::server<server_config>;
using client_endpoint = websocketpp::client<client_config>;

// The handshake needs a URI; peers are told apart by address and certificate, not by this.
constexpr char kHandshakeUri[] = "ws://cornelweir/v1";

// The library's endpoints hold settings shared by all connections of a side. One a process is
// enough, since everything runs on one thread.
template <class Endpoint>
Endpoint& SharedEndpoint() {
  static Endpoint* const endpoint = [] {
    auto* created = new Endpoint();
    created->clear_access_channels(websocketpp::log::alevel::all);
    created->clear_error_channels(websocketpp::log::elevel::all);
    return created;
  }();
  return *endpoint;
}

}  // namespace

class websocket_codec::implementation {
 public:
  implementation(side which, std::size_t max_message_bytes, callbacks handlers)
      : which_(which), handlers_(std::move(handlers)) {
    if (which_ == side::kServer) {
      server_ = SharedEndpoint<server_endpoint>().get_connection();
      Configure(*server_, max_message_bytes);
    } else {
      websocketpp::lib::error_code error;
      client_ = SharedEndpoint<client_endpoint>().get_connection(kHandshakeUri, error);
      Configure(*client_, max_message_bytes);
    }
  }

  ~implementation() {
    // The connection may outlive this object inside the library; it must not call back then.
    if (server_) Detach(*server_);
    if (client_) Detach(*client_);
  }

  void Start() {
    if (server_) {
      server_->start();
    } else {
      SharedEndpoint<client_endpoint>().connect(client_);
    }
  }

  void Feed(const char* data, std::size_t size) {
    if (server_) {
      server_->read_all(data, size);
    } else {
      client_->read_all(data, size);
    }
  }

  bool Send(const std::string& payload) {
    constexpr auto kBinary = websocketpp::frame::opcode::binary;
    return server_ ? !server_->send(payload, kBinary) : !client_->send(payload, kBinary);
  }

  void Close(const std::string& reason) {
    websocketpp::lib::error_code error;
    constexpr auto kNormal = websocketpp::close::status::normal;
    if (server_) {
      server_->close(kNormal, reason, error);
    } else {
      client_->close(kNormal, reason, error);
    }
  }

 private:
  template <class Connection>
  void Configure(Connection& connection, std::size_t max_message_bytes) {
    connection.set_max_message_size(max_message_bytes);
    connection.set_write_handler(
        [this](const websocketpp::connection_hdl&, const char* data, std::size_t size) {
          handlers_.write(data, size);
          return websocketpp::lib::error_code();
        });
    connection.set_open_handler([this](const websocketpp::connection_hdl&) { handlers_.opened(); });
    connection.set_message_handler([this](const websocketpp::connection_hdl&,
                                          const typename Connection::message_ptr& message) {
      handlers_.message(message->get_payload());
    });
    connection.set_close_handler([this, &connection](const websocketpp::connection_hdl&) {
      handlers_.closed(connection.get_ec().message());
    });
    connection.set_fail_handler([this, &connection](const websocketpp::connection_hdl&) {
      handlers_.closed(connection.get_ec().message());
    });
  }

  template <class Connection>
  static void Detach(Connection& connection) {
    connection.set_write_handler([](const websocketpp::connection_hdl&, const char*, std::size_t) {
      return websocketpp::lib::error_code();
    });
    connection.set_open_handler(nullptr);
    connection.set_message_handler(nullptr);
    connection.set_close_handler(nullptr);
    connection.set_fail_handler(nullptr);
    connection.eof();
  }

  side which_;
  callbacks handlers_;
  server_endpoint::connection_ptr server_;
  client_endpoint::connection_ptr client_;
};

websocket_codec::websocket_codec(side which, std::size_t max_message_bytes, callbacks handlers)
    : implementation_(new implementation(which, max_message_bytes, std::move(handlers))) {}

websocket_codec::~websocket_codec() = default;

void websocket_codec::Start() { implementation_->Start(); }
void websocket_codec::Feed(const char* data, std::size_t size) {
  implementation_->Feed(data, size);
}
bool websocket_codec::Send(const std::string& payload) { return implementation_->Send(payload); }
void websocket_codec::Close(const std::string& reason) { implementation_->Close(reason); }

}  // namespace cornelweir::transport::internal
