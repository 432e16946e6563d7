#ifndef CORNELWEIR_SRC_LOGGING_EVENT_ID_H_
#define CORNELWEIR_SRC_LOGGING_EVENT_ID_H_

#include <cstdint>
#include <string_view>

namespace cornelweir::logging {

enum class severity : std::uint8_t { kInfo, kWarning, kError };

// Every event that the programs log: name, number, severity, message. docs/LOG_EVENTS.md
// describes each; CI compares the two. Numbers are never used again for another event.
// 1000s: process. 2000s: control. 3000s: distribution and membership. 4000s: request path.
#define CORNELWEIR_LOG_EVENTS(X)                                                             \
  X(kProcessStarted, 1001, kInfo, "process started")                                         \
  X(kProcessStopping, 1002, kInfo, "graceful shutdown began")                                \
  X(kProcessStopped, 1003, kInfo, "process stopped")                                         \
  X(kKeysReloaded, 1006, kInfo, "keys reloaded")                                             \
  X(kKeysRefused, 1007, kError, "keys can't be loaded, the old ones stay")                   \
  X(kLinesLeftOut, 1008, kWarning, "log lines dropped")                                      \
  X(kSettingsReloaded, 1009, kInfo, "settings read again")                                   \
  X(kStopRepeated, 1010, kInfo, "stop requested again")                                      \
  X(kLeaderElected, 2001, kInfo, "became leader")                                            \
  X(kLeadershipLost, 2002, kWarning, "no longer leader")                                     \
  X(kStorageFailed, 2003, kError, "storage failed")                                          \
  X(kVersionAccepted, 2004, kInfo, "version accepted")                                       \
  X(kMessageRefused, 2005, kWarning, "message refused")                                      \
  X(kPolicyDecided, 2006, kInfo, "policy change decided")                                    \
  X(kPolicyInForce, 2007, kInfo, "policy applied to the state")                              \
  X(kGroupChanged, 2008, kInfo, "group of control hosts changes")                            \
  X(kPolicyInvalid, 2009, kWarning, "policy refused as invalid")                             \
  X(kStorageOpened, 2010, kInfo, "data folder opened")                                       \
  X(kCurrentStateChanged, 2011, kInfo, "state became current or outdated")                   \
  X(kPolicyRead, 2012, kInfo, "policy read by an operator")                                  \
  X(kStorageRecovered, 2013, kInfo, "storage takes writes again")                            \
  X(kStorageStillFailing, 2014, kError, "storage keeps failing")                             \
  X(kSnapshotPostponed, 2015, kWarning, "snapshot not written, the log keeps its entries")   \
  X(kDiskSpaceLow, 2016, kWarning, "disk space low or enough again")                         \
  X(kStateTooLarge, 2017, kError, "state too large for a snapshot")                          \
  X(kNotCurrent, 2018, kWarning, "this control host is not current")                         \
  X(kFoundingHoldsChanges, 2019, kWarning, "changes wait for the voters of a new group")     \
  X(kRolloutDecided, 2020, kInfo, "rollout order decided")                                   \
  X(kRolloutRead, 2021, kInfo, "rollout read by an operator")                                \
  X(kRolloutChanged, 2022, kInfo, "rollout started or advanced")                             \
  X(kRolloutStepProposed, 2023, kInfo, "step of a rollout proposed")                         \
  X(kRolloutJudgedBad, 2024, kWarning, "version judged bad")                                 \
  X(kRolloutInvalid, 2025, kWarning, "rollout order refused as invalid")                     \
  X(kQuarantineReported, 2030, kWarning, "daemon reported a quarantined request")            \
  X(kPublisherConnected, 3001, kInfo, "connected to publisher")                              \
  X(kPublisherLost, 3002, kWarning, "publisher lost")                                        \
  X(kVersionApplied, 3003, kInfo, "version applied")                                         \
  X(kVersionRefused, 3004, kError, "version refused")                                        \
  X(kFreshnessProved, 3005, kInfo, "freshness proved, taking requests")                      \
  X(kUpstreamJoined, 3006, kInfo, "upstream joined")                                         \
  X(kUpstreamLeft, 3007, kInfo, "upstream left")                                             \
  X(kLeaseExpired, 3008, kWarning, "lease expired")                                          \
  X(kControlLinkLost, 3009, kWarning, "link to control host lost")                           \
  X(kDaemonReported, 3010, kInfo, "daemon appeared or its report changed")                   \
  X(kControlHostLost, 3011, kWarning, "link to control host closed")                         \
  X(kControlHostConnected, 3012, kInfo, "connected to control host")                         \
  X(kPolicyApplied, 3013, kInfo, "policy in force")                                          \
  X(kUpstreamChanged, 3014, kInfo, "upstream changed")                                       \
  X(kPeerLost, 3015, kWarning, "link to peer lost")                                          \
  X(kReadinessChanged, 3016, kInfo, "readiness changed")                                     \
  X(kPeerSilent, 3017, kWarning, "peer does not answer probes")                              \
  X(kNoHostCurrent, 3018, kWarning, "no control host current, or one again")                 \
  X(kResponsesGivenUp, 3019, kWarning, "responses to another daemon given up")               \
  X(kRolloutApplied, 3020, kInfo, "rollout in force")                                        \
  X(kRolloutUnconfirmed, 3021, kWarning, "upstream closed, rollout not confirmed")           \
  X(kUpstreamUnproven, 3022, kInfo, "upstream announced, health response awaited")           \
  X(kUpstreamCrashed, 4001, kWarning, "upstream connection broke with requests in progress") \
  X(kRequestEnded, 4002, kInfo, "request ended")                                             \
  X(kRequestSentAgain, 4003, kInfo, "request sent again")                                    \
  X(kAnnouncementRefused, 4004, kWarning, "announcement refused")                            \
  X(kRequestRefused, 4009, kInfo, "request refused at its upstream")                         \
  X(kQuotaExceeded, 4010, kWarning, "quota of a workspace used up")                          \
  X(kQuotaMet, 4011, kInfo, "workspace within its quota again")                              \
  X(kRequestQuarantined, 4012, kWarning, "request quarantined, it crashes upstreams")        \
  X(kQuarantineReleased, 4013, kInfo, "quarantine released by an operator")                  \
  X(kSlowReadersClosed, 4014, kWarning, "connections of slow callers closed")                \
  X(kTransferEnded, 4015, kInfo, "transfer of a large body ended")                           \
  X(kHostTraffic, 4016, kInfo, "bytes on the network of this host")

enum class event_id : std::uint16_t {
// An enumerator can't stand in parentheses.
// NOLINTNEXTLINE(bugprone-macro-parentheses)
#define CORNELWEIR_EVENT_NUMBER(name, number, level, message) name = number,
  CORNELWEIR_LOG_EVENTS(CORNELWEIR_EVENT_NUMBER)
#undef CORNELWEIR_EVENT_NUMBER
};

struct event_description {
  severity level;
  std::string_view message;
};

event_description Describe(event_id id);

}  // namespace cornelweir::logging

#endif  // CORNELWEIR_SRC_LOGGING_EVENT_ID_H_
