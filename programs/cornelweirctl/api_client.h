#ifndef PROGRAMS_CORNELWEIRCTL_API_CLIENT_H_
#define PROGRAMS_CORNELWEIRCTL_API_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/leaf.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "cornelweir/codec.h"
#include "cornelweir/kernel.h"
#include "programs/cornelweirctl/http_exchange.h"
#include "programs/cornelweirctl/retry_policy.h"
#include "programs/cornelweirctl/tls_files.h"

namespace cornelweir::ctl {

// An answer of a control host that is not "unavailable".
// The JSON library's moves are noexcept, although they check invariants with throwing code.
struct api_reply {  // NOLINT(bugprone-exception-escape)
  unsigned status = 0;
  codec::json body;
};

// Talks to control hosts. Each call runs the loop until its answer is there, so that a command
// reads as a sequence of steps. A request that is not answered, or is answered with a server's
// error, is sent unchanged to the next host; changes carry a change id that keeps this from
// doubling them.
class api_client {
 public:
  api_client(boost::asio::io_context& loop, kernel::seeded_random& random,
             std::vector<kernel::endpoint> control_hosts, retry_policy retry);

  // Uses mutual TLS from now on. A control host is trusted if the authority signed its certificate.
  boost::leaf::result<void> UseTls(const tls_files& files);

  boost::leaf::result<api_reply> Get(const std::string& target);
  boost::leaf::result<api_reply> Post(const std::string& target, const codec::json& body);
  // Asks one host once.
  boost::leaf::result<api_reply> GetFrom(const kernel::endpoint& host, const std::string& target);

  // Waits without blocking other work of the loop.
  void Wait(kernel::milliseconds time);

  const std::vector<kernel::endpoint>& control_hosts() const { return control_hosts_; }

 private:
  using request = boost::beast::http::request<boost::beast::http::string_body>;

  struct attempt {
    bool done = false;
    boost::system::error_code error;
    http_reply reply;
  };

  boost::leaf::result<api_reply> Exchange(const request& message);
  // Returns the reason if there is no usable answer.
  std::string Attempt(const kernel::endpoint& host, const request& original, api_reply& reply);
  template <class Finished>
  void RunUntil(Finished finished);
  kernel::milliseconds WaitBefore(int round);

  boost::asio::io_context& loop_;
  kernel::seeded_random& random_;
  std::vector<kernel::endpoint> control_hosts_;
  retry_policy retry_;
  std::optional<boost::asio::ssl::context> tls_;
  // The host that gave the latest answer is asked first.
  std::size_t preferred_ = 0;
};

}  // namespace cornelweir::ctl

#endif  // PROGRAMS_CORNELWEIRCTL_API_CLIENT_H_
