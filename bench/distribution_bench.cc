// Measures the decisions of distribution at the size to design for, without a network: one control
// host of 18, the roots that subscribe to it, and their children. Prints one JSON object a line.

#include <malloc.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <deque>
#include <exception>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cornelweir/codec.h"
#include "cornelweir/distribution.h"

namespace cornelweir::distribution {
namespace {

using kernel::membership_revision;
using kernel::service_name;
using kernel::table_version;

constexpr int kServices = 470;
constexpr int kUpstreams = 17'000;
constexpr int kControlHosts = 18;
// Each service calls five of the next layer, in chains of up to 19 services.
constexpr int kLayers = 19;
constexpr int kCalls = 5;
constexpr double kChangesPerSecond = 33'000.0 / 86'400;
// 5,800 restarts a day; each is seen as leave, join and ready.
constexpr double kMemberChangesPerSecond = 3 * 5'800.0 / 86'400;
constexpr double kHeartbeatsPerSecond = 2;
// What a daemon may use for control.
constexpr double kMaxBytesPerSecond = 6'000;
constexpr double kMaxCoreShare = 0.011;
constexpr double kMaxMemory = 64e6;

using stopwatch = std::chrono::steady_clock;

double MicrosecondsSince(stopwatch::time_point start) {
  return std::chrono::duration<double, std::micro>(stopwatch::now() - start).count();
}

double HeapBytes() { return static_cast<double>(mallinfo2().uordblks); }

template <class Message>
double EncodedBytes(const Message& message) {
  return static_cast<double>(codec::Encode(message).size());
}

class report {
 public:
  explicit report(std::uint64_t seed) : seed_(seed) {}

  void Print(const std::string& metric, double value, const std::string& unit,
             std::optional<double> bound = std::nullopt) const {
    nlohmann::json line{{"bench", "distribution"},
                        {"metric", metric},
                        {"value", value},
                        {"unit", unit},
                        {"seed", seed_}};
    if (bound) {
      line["bound"] = *bound;
      line["holds"] = value <= *bound;
    }
    std::cout << line.dump() << "\n";
  }

 private:
  std::uint64_t seed_;
};

std::string ServiceName(int index) { return "service-" + std::to_string(index); }

table::row_map MakeTable(kernel::seeded_random& random) {
  table::row_map rows;
  constexpr int kPerLayer = (kServices + kLayers - 1) / kLayers;
  for (int index = 0; index < kServices; ++index) {
    const service_name name(ServiceName(index));
    const kernel::limit_name limit("limit-" + std::to_string(index));
    const kernel::wait_name wait("wait-" + std::to_string(index));
    rows[table::KeyOf(limit)] =
        table::limit_row{kernel::request_count(20), kernel::request_count(700),
                         kernel::request_count(100), kernel::request_count(50)};
    rows[table::KeyOf(wait)] = table::wait_row{2'000, 200};
    table::service_row service{limit, wait, {}};
    const int next_layer = (index / kPerLayer + 1) * kPerLayer;
    const int available = std::min(kPerLayer, kServices - next_layer);
    for (int call = 0; call < std::min(kCalls, available); ++call) {
      const auto first = static_cast<int>(kernel::UniformBelow(random, 5));
      service.calls.emplace_back(ServiceName(next_layer + (first + call * 5) % available));
    }
    std::sort(service.calls.begin(), service.calls.end());
    service.calls.erase(std::unique(service.calls.begin(), service.calls.end()),
                        service.calls.end());
    rows[table::KeyOf(name)] = service;
    for (const char* subset : {"stable", "next"}) {
      rows[table::SplitKey(name, kernel::subset_name(subset))] =
          table::split_row{kernel::weight(100)};
    }
    for (const char* route : {"read", "write"}) {
      const std::string path = name.value() + "-" + route;
      rows[table::row_key{table::row_kind::kRoute, path}] =
          table::route_row{"/" + path, name, true};
    }
  }
  return rows;
}

// One operator's edit: a weight, a limit or a wait of some service.
void Edit(table::row_map& rows, std::int64_t number, kernel::seeded_random& random) {
  const std::string index = std::to_string(kernel::UniformBelow(random, kServices));
  switch (kernel::UniformBelow(random, 3)) {
    case 0:
      rows[table::SplitKey(service_name("service-" + index), kernel::subset_name("next"))] =
          table::split_row{kernel::weight(1 + number % 900)};
      break;
    case 1:
      rows[table::KeyOf(kernel::limit_name("limit-" + index))] =
          table::limit_row{kernel::request_count(1 + number), kernel::request_count(700),
                           kernel::request_count(100), kernel::request_count(50)};
      break;
    default:
      rows[table::KeyOf(kernel::wait_name("wait-" + index))] = table::wait_row{3'000 + number, 200};
      break;
  }
}

membership::upstream_record MakeMember(int index) {
  const std::string number = std::to_string(index);
  membership::upstream_record record;
  record.id = kernel::upstream_id("upstream-" + number);
  record.service = service_name(ServiceName(index % kServices));
  record.subset = kernel::subset_name("stable");
  record.host = kernel::host_id("host-" + number);
  record.domain = kernel::failure_domain("domain-" + std::to_string(index % 21));
  record.daemon_data = kernel::endpoint("10.0." + number + ":8080");
  record.daemon_control = kernel::endpoint("10.0." + number + ":8081");
  record.slots = kernel::request_count(20);
  record.connections = kernel::request_count(100);
  record.incarnation = kernel::incarnation(1'700'000'000'000);
  record.state = membership::upstream_state::kReady;
  return record;
}

// A daemon that subscribes to the control host, and those below it.
struct branch {
  relay root;
  std::vector<subscriber> children;
};

// Sums over one kind of event.
struct tally {
  double source_messages = 0;
  double source_bytes = 0;
  double source_time = 0;
  double relay_messages = 0;
  double relay_bytes = 0;
  double relay_time = 0;
  double daemon_bytes = 0;
  double daemon_time = 0;
};

class fleet {
 public:
  fleet(const report& out, std::uint64_t seed) : out_(out), random_(seed) {}

  void Build() {
    rows_ = MakeTable(random_);
    const auto faults = table::Validate(rows_);
    if (!faults.empty()) {
      std::cerr << "the generated table is not valid: " << faults.front().reason << "\n";
      std::exit(1);
    }
    out_.Print("table_rows", static_cast<double>(rows_.size()), "rows");
    double before = HeapBytes();
    source_.PublishTable(version_, rows_, clock_.Now());
    out_.Print("publisher_memory_per_service", (HeapBytes() - before) / kServices, "bytes");
    for (int index = 0; index < kUpstreams; ++index) {
      members_.Announce(MakeMember(index), membership_revision(index + 1));
    }
    before = HeapBytes();
    source_.PublishMembers(members_, clock_.Now());
    out_.Print("publisher_memory_per_upstream", (HeapBytes() - before) / kUpstreams, "bytes");
    source_.Heartbeat(kernel::heartbeat_round(++round_), clock_.Now());
    Subscribe();
  }

  // Publishes one changed row.
  void ChangeTable(std::int64_t number, tally& sums) {
    Edit(rows_, number, random_);
    version_ = kernel::Next(version_);
    const auto start = stopwatch::now();
    const auto actions = source_.PublishTable(version_, rows_, clock_.Now());
    sums.source_time += MicrosecondsSince(start);
    Spread(actions, sums);
  }

  // Publishes one upstream that drains.
  void ChangeMember(int index, tally& sums) {
    membership::upstream_record record = MakeMember(index);
    record.state = membership::upstream_state::kDraining;
    members_.Announce(record, membership_revision(++position_));
    clock_.Advance(kTickInterval);
    auto start = stopwatch::now();
    const auto actions = source_.PublishMembers(members_, clock_.Now());
    sums.source_time += MicrosecondsSince(start);
    Spread(actions, sums);
  }

  void Heartbeat(tally& sums) {
    const auto start = stopwatch::now();
    const auto actions = source_.Heartbeat(kernel::heartbeat_round(++round_), clock_.Now());
    sums.source_time += MicrosecondsSince(start);
    Spread(actions, sums);
  }

  // Whether every daemon holds the newest version and the rows of its scope.
  bool Complete() const {
    for (const branch& part : branches_) {
      const table::row_map expected = table::ScopeOf(rows_, part.root.own_subscriber().service());
      if (part.root.own_subscriber().rows() != expected) return false;
      for (const subscriber& child : part.children) {
        if (child.version() != version_ || child.rows() != expected) return false;
      }
    }
    return true;
  }

  // The most that any daemon holds.
  void PrintSubscriberMemory() const {
    const double before = HeapBytes();
    const subscriber copy = branches_.front().root.own_subscriber();
    const double used = HeapBytes() - before;
    const auto services = ServicesIn(copy.rows(), copy.service());
    out_.Print("subscriber_memory", used, "bytes", kMaxMemory);
    out_.Print("subscriber_memory_per_service", used / static_cast<double>(services.size()),
               "bytes");
    out_.Print("subscriber_memory_per_upstream", used / static_cast<double>(copy.members().size()),
               "bytes");
  }

  double roots() const { return static_cast<double>(branches_.size()); }
  double children() const {
    double sum = 0;
    for (const branch& part : branches_) sum += static_cast<double>(part.children.size());
    return sum;
  }
  const table::row_map& rows() const { return rows_; }

 private:
  // Subscribes every 18th root to this control host, and its share of its service to it.
  void Subscribe() {
    int number = 0;
    tally ignored;
    for (int service = 0; service < kServices; ++service) {
      const service_name name(ServiceName(service));
      const auto hosts = RelayCandidates(members_.history(), name);
      const relay_tree tree(hosts);
      for (const relay_candidate& root : hosts) {
        if (!tree.IsRoot(root.host) || number++ % kControlHosts != 0) continue;
        branches_.push_back(
            branch{relay(Daemon(name, root), kernel::nonce(random_.NextU64())), {}});
        branch& part = branches_.back();
        const subscriber_id id(branches_.size());
        Spread(source_.OnSubscribe(id, part.root.Subscribe(clock_.Now()), clock_.Now(), random_),
               ignored);
        Settle();
        for (const relay_candidate& host : hosts) {
          const auto parents = tree.ParentsOf(host.host);
          if (parents.empty() || parents.front() != root.endpoint) continue;
          part.children.push_back(Daemon(name, host));
          const auto admitted = part.root.OnChildMessage(
              subscriber_id(part.children.size()), part.children.back().Subscribe(clock_.Now()),
              clock_.Now(), random_);
          Pass(part, admitted, ignored);
        }
        Settle();
      }
    }
  }

  subscriber Daemon(const service_name& service, const relay_candidate& host) {
    return subscriber_builder()
        .Service(service)
        .Host(host.host)
        .ControlEndpoint(host.endpoint)
        .Nonce(kernel::nonce(random_.NextU64()))
        .Build();
  }

  // Lets queued pieces through.
  void Settle() {
    tally ignored;
    for (int tick = 0; tick < 12; ++tick) {
      clock_.Advance(kTickInterval);
      Spread(source_.Tick(clock_.Now()), ignored);
      Pass(branches_.back(), branches_.back().root.Tick(clock_.Now()), ignored);
    }
  }

  void Spread(const subscriber_actions& actions, tally& sums) {
    for (const outgoing& sent : actions.messages) {
      sums.source_messages += 1;
      sums.source_bytes += EncodedBytes(sent.message);
      branch& part = branches_[sent.recipient.value() - 1];
      const auto start = stopwatch::now();
      const auto result = part.root.OnPublisherMessage(sent.message, clock_.Now());
      sums.relay_time += MicrosecondsSince(start);
      Pass(part, result, sums);
    }
  }

  void Pass(branch& part, const relay_result& result, tally& sums) {
    for (const outgoing& sent : result.to_children) {
      const double bytes = EncodedBytes(sent.message);
      sums.relay_messages += 1;
      sums.relay_bytes += bytes;
      sums.daemon_bytes += bytes;
      const auto start = stopwatch::now();
      part.children[sent.recipient.value() - 1].OnMessage(sent.message, clock_.Now());
      sums.daemon_time += MicrosecondsSince(start);
    }
  }

  const report& out_;
  kernel::seeded_random random_;
  kernel::manual_clock clock_;
  publisher source_{kernel::nonce(1)};
  membership::member_table members_;
  table::row_map rows_;
  table_version version_{1};
  std::uint64_t position_ = kUpstreams;
  std::uint64_t round_ = 0;
  // Not moved once subscribed.
  std::deque<branch> branches_;
};

// The baseline: the source sends the whole table to every daemon at each change.
class full_push {
 public:
  explicit full_push(int daemons) : daemons_(daemons) {}

  std::vector<outgoing> Publish(table_version version, const table::row_map& rows) const {
    configuration whole;
    whole.version = version;
    whole.rows = table::DeltaBetween({}, rows);
    std::vector<outgoing> messages(static_cast<std::size_t>(daemons_));
    for (int index = 0; index < daemons_; ++index) {
      messages[index].recipient = subscriber_id(static_cast<std::uint64_t>(index));
      messages[index].message = whole;
    }
    return messages;
  }

 private:
  int daemons_;
};

void PrintTally(const report& out, const std::string& kind, const tally& sums, double count,
                const fleet& measured) {
  out.Print(kind + "_messages_at_source", sums.source_messages / count, "messages");
  out.Print(kind + "_bytes_at_source", sums.source_bytes / count, "bytes");
  out.Print(kind + "_time_at_source", sums.source_time / count, "us");
  out.Print(kind + "_messages_per_relay", sums.relay_messages / count / measured.roots(),
            "messages");
  out.Print(kind + "_bytes_per_relay", sums.relay_bytes / count / measured.roots(), "bytes");
  out.Print(kind + "_time_per_relay", sums.relay_time / count / measured.roots(), "us");
  out.Print(kind + "_bytes_per_daemon", sums.daemon_bytes / count / measured.children(), "bytes");
  out.Print(kind + "_time_per_daemon", sums.daemon_time / count / measured.children(), "us");
}

void Run(std::uint64_t seed, int changes) {
  const report out(seed);
  fleet measured(out, seed);
  measured.Build();
  out.Print("direct_subscribers", measured.roots(), "daemons",
            (2.0 * kServices + kControlHosts - 1) / kControlHosts);
  out.Print("children_per_relay", measured.children() / measured.roots(), "daemons", kMaxChildren);
  measured.PrintSubscriberMemory();
  tally table_sums;
  for (int change = 0; change < changes; ++change) measured.ChangeTable(change, table_sums);
  PrintTally(out, "table_change", table_sums, changes, measured);
  tally member_sums;
  for (int change = 0; change < changes; ++change) measured.ChangeMember(change * 7, member_sums);
  // Members outside of a scope are passed on with the next heartbeat.
  measured.Heartbeat(member_sums);
  PrintTally(out, "member_change", member_sums, changes, measured);
  tally beat_sums;
  for (int beat = 0; beat < changes; ++beat) measured.Heartbeat(beat_sums);
  PrintTally(out, "heartbeat", beat_sums, changes, measured);
  out.Print("complete", measured.Complete() ? 1 : 0, "bool");

  // A version number without rows is sent for each revision that a heartbeat passes on.
  const double revision_bytes =
      EncodedBytes(publisher_message(members{membership_revision(1'000'000),
                                             membership_revision(1'000'001),
                                             table_version(1'000),
                                             {},
                                             false,
                                             transfer_id(UINT64_MAX),
                                             {},
                                             piece_number(1)}));
  const auto per_second = [&](double table_change, double member_change, double beat) {
    return table_change * kChangesPerSecond / changes +
           member_change * kMemberChangesPerSecond / changes +
           beat * kHeartbeatsPerSecond / changes;
  };
  const double daemon_bytes =
      per_second(table_sums.daemon_bytes, member_sums.daemon_bytes, beat_sums.daemon_bytes) /
          measured.children() +
      revision_bytes * kMemberChangesPerSecond;
  const double per_relay = measured.children() / measured.roots();
  out.Print("daemon_bytes_per_second", daemon_bytes, "bytes/s", kMaxBytesPerSecond);
  out.Print("relay_bytes_per_second", daemon_bytes * (per_relay + 1), "bytes/s",
            kMaxBytesPerSecond);
  out.Print("full_relay_bytes_per_second", daemon_bytes * (kMaxChildren + 1), "bytes/s",
            kMaxBytesPerSecond);
  out.Print("relay_core_share",
            per_second(table_sums.relay_time, member_sums.relay_time, beat_sums.relay_time) /
                measured.roots() / 1e6,
            "cores", kMaxCoreShare);

  const int daemons = kUpstreams / kControlHosts;
  const full_push baseline(daemons);
  const auto start = stopwatch::now();
  const auto pushed = baseline.Publish(table_version(1), measured.rows());
  out.Print("full_push_time_at_source", MicrosecondsSince(start), "us");
  const double bytes = EncodedBytes(pushed.front().message);
  out.Print("full_push_messages_at_source", static_cast<double>(pushed.size()), "messages");
  out.Print("full_push_bytes_at_source", bytes * static_cast<double>(pushed.size()), "bytes");
  out.Print("full_push_bytes_per_daemon", bytes, "bytes");
  out.Print("bytes_at_source_relative_to_full_push",
            table_sums.source_bytes / changes / (bytes * static_cast<double>(pushed.size())),
            "ratio");
}

}  // namespace
}  // namespace cornelweir::distribution

int main(int argc, char** argv) try {
  namespace options = boost::program_options;
  std::uint64_t seed = 1;
  int changes = 200;
  options::options_description described("Options");
  described.add_options()("help", "print this text")("seed", options::value(&seed), "random seed")(
      "changes", options::value(&changes), "events of each kind");
  options::variables_map given;
  options::store(options::parse_command_line(argc, argv, described), given);
  options::notify(given);
  if (given.contains("help")) {
    std::cout << described;
    return 0;
  }
  cornelweir::distribution::Run(seed, changes);
  return 0;
} catch (const std::exception& error) {
  std::cerr << "cornelweir-bench-distribution: " << error.what() << "\n";
  return 1;
}
