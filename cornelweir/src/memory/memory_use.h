#ifndef CORNELWEIR_SRC_MEMORY_MEMORY_USE_H_
#define CORNELWEIR_SRC_MEMORY_MEMORY_USE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace cornelweir::memory {

// What bytes are held for.
enum class memory_use : std::uint8_t {
  // Requests of callers that are being read or are not answered.
  kCallerRequests,
  // Responses that wait for their caller, and room kept for those of requests that were sent on.
  kCallerResponses,
  // Responses that are being read from the upstream or received from another daemon.
  kUpstreamResponses,
  // Responses that wait for the link to another daemon.
  kLinkTransfers,
  // Responses that wait for an operator.
  kOperatorResponses,
  kCount
};

inline constexpr std::size_t kMemoryUses = static_cast<std::size_t>(memory_use::kCount);

// The label of a use in metrics and logs.
constexpr std::string_view UseName(memory_use use) {
  constexpr std::array<std::string_view, kMemoryUses> kNames{"caller_requests", "caller_responses",
                                                             "upstream_responses", "link_transfers",
                                                             "operator_responses"};
  return kNames.at(static_cast<std::size_t>(use));
}

}  // namespace cornelweir::memory

#endif  // CORNELWEIR_SRC_MEMORY_MEMORY_USE_H_
