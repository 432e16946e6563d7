#include "cornelweir/src/settings/load_settings.h"

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>
#include <utility>

#include "cornelweir/src/settings/endpoint_text.h"
#include "cornelweir/src/settings/limits.h"
#include "cornelweir/src/settings/section_reader.h"
#include "cornelweir/src/settings/settings_document.h"
#include "cornelweir/src/settings/settings_error.h"

namespace cornelweir::settings {
namespace internal {
namespace {

void ReadPeer(section_reader& reader, const kernel::host_id& own, control_settings& control) {
  control_peer peer;
  reader.Name("host", peer.host);
  // A host that listens at a port of the system's choice can't name it in advance.
  const port_rule rule = peer.host == own ? port_rule::kMayBeZero : port_rule::kNotZero;
  reader.Endpoint("mesh", rule, peer.mesh);
  reader.Endpoint("admin", rule, peer.admin);
  control.peers.push_back(std::move(peer));
}

void CheckPeers(section_reader& reader, const kernel::host_id& own,
                const std::vector<control_peer>& peers) {
  std::set<kernel::host_id> hosts;
  std::set<kernel::endpoint> endpoints;
  for (const control_peer& peer : peers) {
    if (!hosts.insert(peer.host).second) {
      reader.AddFault("peers", "host '" + peer.host.value() + "' is listed twice");
    }
    for (const kernel::endpoint& endpoint : {peer.mesh, peer.admin}) {
      const auto parsed = ParseEndpoint(endpoint.value());
      if (!parsed || parsed->port() == 0) continue;
      if (!endpoints.insert(endpoint).second) {
        reader.AddFault("peers", "endpoint " + endpoint.value() + " is listed twice");
      }
    }
  }
  if (!peers.empty() && !hosts.contains(own)) {
    reader.AddFault("peers", "this host, '" + own.value() + "', is not in the list");
  }
}

void ReadQuota(section_reader& reader, quota_settings& quota) {
  reader.OptionalMilliseconds("quota_window_ms", 1, kMaxQuotaWindowMs, quota.window_ms);
  reader.OptionalReal("quota_overshoot", kMaxQuotaOvershoot, quota.overshoot);
  reader.OptionalReal("quota_slack", kMaxQuotaSlack, quota.slack);
}

void ReadControl(section_reader& reader, const kernel::host_id& own, control_settings& control) {
  reader.AbsolutePath("data_folder", control.data_folder);
  reader.Endpoint("mesh_listen", port_rule::kMayBeZero, control.mesh_listen);
  reader.OptionalFlag("bootstrap", control.bootstrap);
  ReadQuota(reader, control.quota);
  reader.OptionalMilliseconds("shutdown_ms", kMinControlShutdownMs, kMaxDrainMs,
                              control.shutdown_ms);
  if (reader.Has("seeds")) {
    reader.Endpoints("seeds", kMaxControlHosts, control.seeds);
    reader.OptionalNumber("tolerated_losses", 0, kMaxControlHosts / 2, control.tolerated_losses);
    if (reader.Has("policy_listen")) {
      reader.Endpoint("policy_listen", port_rule::kMayBeZero, control.policy_listen);
    }
    reader.OptionalFlag("stable_inodes", control.stable_inodes);
    return;
  }
  reader.Sections("peers", kMaxControlHosts,
                  [&](section_reader& element) { ReadPeer(element, own, control); });
  CheckPeers(reader, own, control.peers);
}

void ReadSidecar(section_reader& reader, sidecar_settings& sidecar) {
  reader.Name("service", sidecar.service);
  reader.Endpoint("upstream", port_rule::kNotZero, sidecar.upstream);
  reader.Endpoint("callers_listen", port_rule::kMayBeZero, sidecar.callers_listen);
  reader.Endpoint("peers_listen", port_rule::kMayBeZero, sidecar.peers_listen);
  reader.Endpoint("readiness_listen", port_rule::kMayBeZero, sidecar.readiness_listen);
  reader.Endpoint("announce_listen", port_rule::kMayBeZero, sidecar.announce_listen);
  reader.Endpoints("seeds", kMaxControlHosts, sidecar.seeds);
  reader.OptionalNumber("control_port", 1, kMaxPort, sidecar.control_port);
  reader.OptionalReal("retry_ratio", 1, sidecar.retry_ratio);
  reader.OptionalMilliseconds("retry_window_ms", 1, kMaxRetryWindowMs, sidecar.retry_window_ms);
  reader.OptionalReal("retry_slack", kMaxRetrySlack, sidecar.retry_slack);
  reader.OptionalFlag("strict_key_revocation", sidecar.strict_key_revocation);
  reader.OptionalDuration("max_policy_age", kernel::milliseconds(1), kMaxPolicyAge,
                          sidecar.max_policy_age);
  ReadQuota(reader, sidecar.quota);
  reader.OptionalMilliseconds("shutdown_ms", kMinSidecarShutdownMs, kMaxDrainMs,
                              sidecar.shutdown_ms);
}

void ReadProxy(section_reader& reader, proxy_settings& proxy) {
  reader.Name("service", proxy.service);
  reader.Endpoint("data_listen", port_rule::kMayBeZero, proxy.data_listen);
  reader.Endpoint("mesh_listen", port_rule::kMayBeZero, proxy.mesh_listen);
  reader.Endpoints("control_hosts", kMaxControlHosts, proxy.control_hosts);
  reader.OptionalNumber("max_body_bytes", 1, kMaxMaxBodyBytes, proxy.max_body_bytes);
  reader.OptionalMilliseconds("drain_ms", 1, kMaxDrainMs, proxy.drain_ms);
  reader.OptionalNumber("max_connections_per_peer", 1, kMaxConnectionsPerPeer,
                        proxy.max_connections_per_peer);
}

void ReadTls(section_reader& reader, tls_settings& tls) {
  reader.OptionalFlag("enabled", tls.enabled);
  // The files of a section that is switched off may stay in it, or be left out.
  const auto read = [&](std::string_view key, std::string& file) {
    if (tls.enabled || reader.Has(key)) reader.AbsolutePath(key, file);
  };
  read("certificate_file", tls.certificate_file);
  read("key_file", tls.key_file);
  read("authority_file", tls.authority_file);
}

void CheckTls(settings_document& document, const daemon_settings& settings) {
  if (settings.tls.enabled || settings.trusted_network) return;
  std::vector<std::pair<const char*, kernel::endpoint>> listens;
  listens.emplace_back("admin_listen", settings.admin_listen);
  if (settings.control) {
    listens.emplace_back("control.mesh_listen", settings.control->mesh_listen);
  }
  if (settings.proxy) {
    listens.emplace_back("proxy.data_listen", settings.proxy->data_listen);
    listens.emplace_back("proxy.mesh_listen", settings.proxy->mesh_listen);
  }
  if (settings.sidecar) {
    listens.emplace_back("sidecar.callers_listen", settings.sidecar->callers_listen);
    listens.emplace_back("sidecar.peers_listen", settings.sidecar->peers_listen);
  }
  for (const auto& [place, endpoint] : listens) {
    const auto parsed = ParseEndpoint(endpoint.value());
    if (!parsed || parsed->address().is_loopback()) continue;
    document.AddFault(place,
                      "is not a loopback address, so tls.enabled or trusted_network must be true");
  }
}

void CheckPlugins(section_reader& reader, const daemon_settings& settings) {
  const auto check = [&](const char* name, bool has_section) {
    const auto& plugins = settings.plugins;
    if (has_section || std::find(plugins.begin(), plugins.end(), name) == plugins.end()) return;
    reader.AddFault(name, "is missing, but the plug-in is switched on");
  };
  check("control", settings.control.has_value());
  check("proxy", settings.proxy.has_value());
}

daemon_settings ReadDaemon(settings_document& document) {
  daemon_settings settings;
  section_reader reader(document, document.root(), "");
  reader.Name("host", settings.host);
  reader.Name("failure_domain", settings.failure_domain);
  reader.Name("region", settings.region);
  reader.Endpoint("admin_listen", port_rule::kMayBeZero, settings.admin_listen);
  reader.Names("plugins", kMaxPlugins, settings.plugins);
  control_settings control;
  if (reader.OptionalSection(
          "control", [&](section_reader& inner) { ReadControl(inner, settings.host, control); })) {
    settings.control = std::move(control);
  }
  proxy_settings proxy;
  if (reader.OptionalSection("proxy", [&](section_reader& inner) { ReadProxy(inner, proxy); })) {
    settings.proxy = std::move(proxy);
  }
  sidecar_settings sidecar;
  if (reader.OptionalSection("sidecar",
                             [&](section_reader& inner) { ReadSidecar(inner, sidecar); })) {
    settings.sidecar = std::move(sidecar);
  }
  reader.OptionalFlag("trusted_network", settings.trusted_network);
  reader.OptionalNumber("memory_mb", kMinMemoryMb, kMaxMemoryMb, settings.memory_mb);
  if (settings.control && !settings.control->seeds.empty()) {
    settings.host = kernel::host_id(settings.control->mesh_listen.value());
  }
  reader.OptionalSection("tls", [&](section_reader& inner) { ReadTls(inner, settings.tls); });
  reader.RefuseUnknownKeys();
  CheckPlugins(reader, settings);
  CheckTls(document, settings);
  return settings;
}

}  // namespace
}  // namespace internal

boost::leaf::result<daemon_settings> ParseSettings(std::string_view text,
                                                   const std::vector<std::string>& overrides) {
  internal::settings_document document;
  document.Parse(text);
  // Without a document, every key would be reported as missing on top of the syntax error.
  if (!document.faults().empty() && document.root().empty()) {
    return boost::leaf::new_error(settings_error{document.faults()});
  }
  for (const std::string& assignment : overrides) document.Override(assignment);
  daemon_settings settings = internal::ReadDaemon(document);
  if (!document.faults().empty()) {
    return boost::leaf::new_error(settings_error{document.faults()});
  }
  return settings;
}

boost::leaf::result<daemon_settings> LoadSettings(const std::string& path,
                                                  const std::vector<std::string>& overrides) {
  std::ifstream file(path, std::ios::binary);
  std::string text(kMaxFileBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (file.gcount() == 0) {
    return boost::leaf::new_error(
        settings_error{{{path, "the file is empty, absent or not readable"}}});
  }
  text.resize(static_cast<std::size_t>(file.gcount()));
  if (text.size() > kMaxFileBytes) {
    return boost::leaf::new_error(settings_error{{{path, "the file is larger than 1 MiB"}}});
  }
  return ParseSettings(text, overrides);
}

}  // namespace cornelweir::settings
