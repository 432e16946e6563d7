#ifndef CORNELWEIR_SRC_QUOTA_MESSAGES_H_
#define CORNELWEIR_SRC_QUOTA_MESSAGES_H_

#include <string_view>
#include <tuple>
#include <vector>

#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::quota {

// The tokens of one workspace that a daemon asks for.
struct token_request {
  kernel::workspace_id workspace;
  kernel::request_count wanted;
  // How many of them are for requests that wait, and how many of those requests no earlier message
  // has counted. Zero if the sender does not state them.
  kernel::request_count waiting{};
  kernel::request_count arrived{};
  // States the reserve of a control host: the tokens a second that it passes on, and how many it
  // holds. There is no statement if demand is 0.
  kernel::request_rate demand{};
  kernel::request_count held{};

  static constexpr auto Fields() {
    return std::tuple{
        kernel::field{"w", &token_request::workspace}, kernel::field{"n", &token_request::wanted},
        kernel::field{"u", &token_request::waiting},   kernel::field{"a", &token_request::arrived},
        kernel::field{"d", &token_request::demand},    kernel::field{"h", &token_request::held}};
  }
  friend bool operator==(const token_request&, const token_request&) = default;
};

// A daemon's request for tokens. The grant repeats the nonce.
struct quota_request {
  static constexpr std::string_view kType = "quota_request";

  kernel::nonce nonce;
  std::vector<token_request> entries;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"id", &quota_request::nonce},
                      kernel::field{"e", &quota_request::entries}};
  }
  friend bool operator==(const quota_request&, const quota_request&) = default;
};

// The tokens of one workspace that the owner issues.
struct token_grant {
  kernel::workspace_id workspace;
  kernel::request_count granted;
  // How long the tokens may be used, from the time at which the daemon sent its request.
  kernel::microseconds lifetime{};
  // Time until the next token, if fewer were granted than requested.
  kernel::microseconds next_in{};
  // Fewer were granted than requested, but not because the limit is used up: the tokens should be
  // requested again after next_in.
  bool pending = false;
  // How many tokens the control host may hold in reserve, and for how long from the time at which
  // it sent its statement. There was no valid statement if the time is 0.
  kernel::request_count reserved{};
  kernel::microseconds reserve_lifetime{};

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"w", &token_grant::workspace},
                      kernel::field{"n", &token_grant::granted},
                      kernel::field{"l", &token_grant::lifetime},
                      kernel::field{"x", &token_grant::next_in},
                      kernel::field{"p", &token_grant::pending},
                      kernel::field{"r", &token_grant::reserved},
                      kernel::field{"y", &token_grant::reserve_lifetime}};
  }
  friend bool operator==(const token_grant&, const token_grant&) = default;
};

// The owner's answer to a quota_request.
struct quota_grant {
  static constexpr std::string_view kType = "quota_grant";

  kernel::nonce nonce;
  std::vector<token_grant> entries;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"id", &quota_grant::nonce},
                      kernel::field{"e", &quota_grant::entries}};
  }
  friend bool operator==(const quota_grant&, const quota_grant&) = default;
};

}  // namespace cornelweir::quota

#endif  // CORNELWEIR_SRC_QUOTA_MESSAGES_H_
