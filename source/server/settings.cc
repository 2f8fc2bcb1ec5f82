#include "server/settings.h"

#include <algorithm>

#include "core/ini_reader.h"
#include "server/decision_keys.h"

namespace comfreyfold {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr int kMaxLanes = 4096;
constexpr std::int64_t kMinRecentEventsBytes = 64LL * 1024;
constexpr std::int64_t kMaxRecentEventsBytes = 64LL * 1024 * 1024;
constexpr int kMaxWritesPerSecond = 100000;
constexpr int kMaxSnapshotBlocks = 100000;
constexpr int kMaxLoadFollowers = 16;
constexpr int kMaxDaemonsThatAllFollow = 1000;
constexpr int kMaxPeersPerRound = 64;
constexpr int kMaxConnections = 100000;
constexpr std::int64_t kMinBodyBytes = 1024;
constexpr std::int64_t kMaxBodyBytes = 256LL * 1024 * 1024;
constexpr int kMinHeaderBytes = 1024;
constexpr int kMaxHeaderBytes = 1024 * 1024;

bool IsAddress(const std::string& text) {
  const auto n = text.rfind(':');
  return n != std::string::npos && n > 0 && n + 1 < text.size() &&
         std::all_of(text.begin() + static_cast<std::ptrdiff_t>(n) + 1,
                     text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

void ReadAddress(IniReader& reader,
                 const std::string& section,
                 const std::string& key,
                 std::string& out) {
  reader.Read(section, key, out);
  if (reader.Has(section, key) && !IsAddress(out)) {
    reader.AddFault(section, key, "write ip:port, as in 10.0.0.5:2379");
  }
}

void ReadHttpLimits(IniReader& reader, HttpLimits& out) {
  auto body = static_cast<std::int64_t>(out.body_bytes);
  int header = static_cast<int>(out.header_bytes);
  reader.Read("http", "body_bytes", body, kMinBodyBytes, kMaxBodyBytes);
  reader.Read("http", "header_bytes", header, kMinHeaderBytes, kMaxHeaderBytes);
  out.body_bytes = static_cast<std::uint64_t>(body);
  out.header_bytes = static_cast<std::uint32_t>(header);
  reader.Read("http", "request_time", out.request_time, milliseconds(10),
              minutes(10));
  reader.Read("http", "idle_time", out.idle_time, milliseconds(10), hours(1));
  reader.Read("http", "connections", out.connections, 1, kMaxConnections);
}

void ReadContractSettings(IniReader& reader, ContractSettings& out) {
  reader.Read("contracts", "poll_interval", out.poll_interval, milliseconds(50),
              seconds(15));
  reader.Read("contracts", "watch", out.watch);
  reader.Read("contracts", "freeze_gap", out.freeze_gap, milliseconds(300),
              seconds(10));
  reader.Read("contracts", "grace", out.grace, milliseconds(100), seconds(15));
}

}  // namespace

Settings ParseSettings(const std::string& text, const std::string& file) {
  Settings out;
  IniReader reader(text, file);
  reader.Require("daemon", "id");
  reader.Read("daemon", "id", out.daemon);
  reader.Require("daemon", "data_centre");
  reader.Read("daemon", "data_centre", out.data_centre);
  ReadAddress(reader, "daemon", "listen", out.listen);
  reader.Read("daemon", "data_folder", out.data_folder);
  reader.Read("daemon", "log_file", out.log_file);
  reader.Read("daemon", "peer_secret_file", out.peer_secret_file);
  reader.Read("daemon", "recent_events_bytes", out.recent_events_bytes,
              kMinRecentEventsBytes, kMaxRecentEventsBytes);
  reader.Read("daemon", "drain_linger", out.drain_linger, milliseconds(0),
              minutes(5));
  reader.Read("daemon", "drain_time", out.drain_time, seconds(1), hours(1));

  reader.Require("platform", "key_value");
  ReadAddress(reader, "platform", "key_value", out.kv_address);
  reader.Require("platform", "vm_list");
  ReadAddress(reader, "platform", "vm_list", out.vm_list_address);
  ReadAddress(reader, "platform", "weight_store", out.weight_store_address);
  reader.Read("placement", "interval", out.placement_interval, milliseconds(50),
              minutes(10));
  reader.Read("placement", "claim", out.placement_claim, seconds(2),
              minutes(10));
  reader.Read("platform", "timeout", out.platform_timeout, milliseconds(10),
              minutes(1));
  reader.Read("platform", "vm_list_interval", out.vm_list_interval,
              milliseconds(50), minutes(1));
  ReadContractSettings(reader, out.contracts);

  reader.Read("lanes", "count", out.lanes, 1, kMaxLanes);
  reader.Read("lanes", "writes_per_second", out.lane.writes_per_second, 1,
              kMaxWritesPerSecond);
  reader.Read("lanes", "snapshot_blocks", out.lane.snapshot_blocks, 2,
              kMaxSnapshotBlocks);
  reader.Read("lanes", "retention", out.lane.retention, seconds(1), hours(720));
  reader.Read("lanes", "commit_timeout", out.lane.commit_timeout,
              milliseconds(100), minutes(1));
  reader.Read("lanes", "dispatch_window", out.lane.dispatch_window,
              milliseconds(100), minutes(1));
  reader.Read("lanes", "holder_patience", out.lane.holder_patience, seconds(1),
              hours(24));
  reader.Read("members", "heartbeat_interval", out.peers.interval,
              milliseconds(10), seconds(10));
  reader.Read("members", "heartbeat_timeout", out.heartbeat_timeout,
              milliseconds(50), minutes(1));
  reader.Read("members", "lease", out.peers.lease, seconds(2), minutes(10));
  reader.Read("members", "every_peer_up_to", out.peers.every_peer_up_to, 0,
              kMaxPeersPerRound);
  reader.Read("members", "probes", out.peers.probes, 1, kMaxPeersPerRound);
  if (out.heartbeat_timeout < 2 * out.peers.interval) {
    reader.AddFault("members", "heartbeat_timeout",
                    "write at least twice heartbeat_interval");
  }

  reader.Read("calls", "deadline", out.call_deadline, milliseconds(100),
              hours(1));
  reader.Read("calls", "load_interval", out.load_interval, milliseconds(10),
              minutes(1));
  reader.Read("calls", "load_followers", out.followers.followers_per_server, 1,
              kMaxLoadFollowers);
  reader.Read("calls", "every_daemon_follows_up_to",
              out.followers.every_daemon_follows_up_to, 0,
              kMaxDaemonsThatAllFollow);
  reader.Read("calls", "token_coalescing", out.token_coalescing,
              milliseconds(0), seconds(1));
  ReadDecisionSettings(reader, out.decisions);
  ReadHttpLimits(reader, out.http);
  reader.Finish();
  return out;
}

}  // namespace comfreyfold
