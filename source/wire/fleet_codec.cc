#include "core/hash.h"
#include "wire/compact.h"
#include "wire/fleet_messages.h"
#include "wire/gen/comfreyfold_types.h"
#include "wire/limit_wire.h"
#include "wire/storage_wire.h"

namespace comfreyfold {

namespace {

using detail::Read;
using detail::Write;

wire::RegisteredServer ToWire(const BackendServer& server) {
  wire::RegisteredServer out;
  out.id = server.id;
  out.service_name = server.service;
  out.address = server.address;
  out.data_centre = server.data_centre;
  out.slots = server.slots;
  out.leaving = server.leaving;
  out.cold_left_ms = server.cold_remaining.count();
  out.started_ms = server.started.count();
  out.software_version = server.version;
  return out;
}

BackendServer FromWire(const wire::RegisteredServer& server) {
  BackendServer out;
  out.id = server.id;
  out.service = server.service_name;
  out.address = server.address;
  out.data_centre = server.data_centre;
  out.slots = server.slots;
  out.leaving = server.leaving;
  out.cold_remaining = std::chrono::milliseconds(server.cold_left_ms);
  out.started = std::chrono::milliseconds(server.started_ms);
  out.version = server.software_version;
  return out;
}

std::vector<wire::LoadNote> ToWire(const std::vector<LoadReport>& reports) {
  std::vector<wire::LoadNote> out;
  out.reserve(reports.size());
  for (const auto& it : reports) {
    wire::LoadNote note;
    note.server = it.server_id;
    note.requests = it.requests;
    note.age_ms = it.age.count();
    out.push_back(note);
  }
  return out;
}

std::vector<LoadReport> FromWire(const std::vector<wire::LoadNote>& notes) {
  std::vector<LoadReport> out;
  out.reserve(notes.size());
  for (const auto& it : notes) {
    out.push_back(
        {it.server, it.requests, std::chrono::milliseconds(it.age_ms)});
  }
  return out;
}

std::vector<wire::ServerFault> ToWire(const std::vector<ServerFault>& faults) {
  std::vector<wire::ServerFault> out;
  out.reserve(faults.size());
  for (const auto& it : faults) {
    wire::ServerFault fault;
    fault.server = it.server_id;
    fault.origin = static_cast<std::int64_t>(it.origin);
    fault.number = it.number;
    fault.age_ms = it.age.count();
    out.push_back(fault);
  }
  return out;
}

std::vector<ServerFault> FromWire(
    const std::vector<wire::ServerFault>& faults) {
  std::vector<ServerFault> out;
  out.reserve(faults.size());
  for (const auto& it : faults) {
    out.push_back({it.server, static_cast<std::uint64_t>(it.origin), it.number,
                   std::chrono::milliseconds(it.age_ms)});
  }
  return out;
}

std::vector<wire::SuspectRun> ToWire(const std::vector<SuspectRun>& runs) {
  std::vector<wire::SuspectRun> out;
  out.reserve(runs.size());
  for (const auto& it : runs) {
    wire::SuspectRun run;
    run.fingerprint = static_cast<std::int64_t>(it.fingerprint);
    run.server = it.server;
    run.crashed = it.crashed;
    run.age_ms = it.age.count();
    run.had_output = it.had_output;
    run.any_body = it.any_body;
    out.push_back(run);
  }
  return out;
}

std::vector<SuspectRun> FromWire(const std::vector<wire::SuspectRun>& runs) {
  std::vector<SuspectRun> out;
  out.reserve(runs.size());
  for (const auto& it : runs) {
    out.push_back({static_cast<std::uint64_t>(it.fingerprint), it.server,
                   it.crashed, std::chrono::milliseconds(it.age_ms),
                   it.had_output, it.any_body});
  }
  return out;
}

wire::KeptFleet ToWire(const KeptFleet& kept) {
  wire::KeptFleet out;
  out.config_version = kept.config_version;
  out.config_text = kept.config_text;
  for (const auto& it : kept.servers) {
    out.servers.push_back(ToWire(it));
  }
  out.kept_at_ms = kept.kept_at.count();
  out.suspect_runs = ToWire(kept.suspect_runs);
  return out;
}

KeptFleet FromWire(const wire::KeptFleet& kept) {
  KeptFleet out;
  out.config_version = kept.config_version;
  out.config_text = kept.config_text;
  for (const auto& it : kept.servers) {
    out.servers.push_back(FromWire(it));
  }
  out.kept_at = std::chrono::milliseconds(kept.kept_at_ms);
  out.suspect_runs = FromWire(kept.suspect_runs);
  return out;
}

}  // namespace

std::string Encode(const KeptFleet& kept) {
  return Write(ToWire(kept));
}

KeptFleet DecodeKeptFleet(const std::string& buf) {
  return FromWire(Read<wire::KeptFleet>(buf));
}

std::string Encode(const FleetQuestion& question) {
  wire::FleetQuestion out;
  out.config_version = question.config_version;
  out.list_version = question.list_version;
  out.servers_hash = static_cast<std::int64_t>(question.servers_hash);
  out.loads = ToWire(question.loads);
  out.loads_within_ms = question.loads_within.count();
  out.address = question.address;
  out.faults = ToWire(question.faults);
  out.suspect_runs = ToWire(question.suspect_runs);
  out.blamed_hash = static_cast<std::int64_t>(question.blamed_hash);
  out.limits = detail::ToWire(question.limits);
  out.limits_hash = static_cast<std::int64_t>(question.limits_hash);
  return Write(out);
}

FleetQuestion DecodeFleetQuestion(const std::string& buf) {
  const auto in = Read<wire::FleetQuestion>(buf);
  return {in.config_version,
          in.list_version,
          static_cast<std::uint64_t>(in.servers_hash),
          FromWire(in.loads),
          std::chrono::milliseconds(in.loads_within_ms),
          in.address,
          FromWire(in.faults),
          FromWire(in.suspect_runs),
          static_cast<std::uint64_t>(in.blamed_hash),
          detail::FromWire(in.limits),
          static_cast<std::uint64_t>(in.limits_hash)};
}

std::string Encode(const FleetNews& news) {
  wire::FleetNews out;
  out.config_version = news.config_version;
  out.config_age_ms = news.config_age.count();
  out.config_text = news.config_text;
  out.servers_age_ms = news.servers_age.count();
  out.servers_hash = static_cast<std::int64_t>(news.servers_hash);
  if (news.servers) {
    std::vector<wire::RegisteredServer> servers;
    for (const auto& it : *news.servers) {
      servers.push_back(ToWire(it));
    }
    out.__set_servers(servers);
  }
  if (news.members) {
    out.__set_members(detail::ToWire(*news.members));
  }
  out.retiring = news.retiring;
  out.retiring_revision = news.retiring_revision;
  out.loads = ToWire(news.loads);
  out.daemons = news.daemons;
  out.faults = ToWire(news.faults);
  out.suspect_runs = ToWire(news.suspect_runs);
  out.blamed_hash = static_cast<std::int64_t>(news.blamed_hash);
  out.limits = detail::ToWire(news.limits);
  out.limits_hash = static_cast<std::int64_t>(news.limits_hash);
  if (news.kept) {
    out.__set_kept(ToWire(*news.kept));
  }
  out.disk = news.disk;
  return Write(out);
}

FleetNews DecodeFleetNews(const std::string& buf) {
  const auto in = Read<wire::FleetNews>(buf);
  FleetNews out;
  out.config_version = in.config_version;
  out.config_age = std::chrono::milliseconds(in.config_age_ms);
  out.config_text = in.config_text;
  out.servers_age = std::chrono::milliseconds(in.servers_age_ms);
  out.servers_hash = static_cast<std::uint64_t>(in.servers_hash);
  if (in.__isset.servers) {
    out.servers.emplace();
    for (const auto& it : in.servers) {
      out.servers->push_back(FromWire(it));
    }
  }
  if (in.__isset.members) {
    out.members = detail::FromWire(in.members);
  }
  out.retiring = in.retiring;
  out.retiring_revision = in.retiring_revision;
  out.loads = FromWire(in.loads);
  out.daemons = in.daemons;
  out.faults = FromWire(in.faults);
  out.suspect_runs = FromWire(in.suspect_runs);
  out.blamed_hash = static_cast<std::uint64_t>(in.blamed_hash);
  out.limits = detail::FromWire(in.limits);
  out.limits_hash = static_cast<std::uint64_t>(in.limits_hash);
  if (in.__isset.kept) {
    out.kept = FromWire(in.kept);
  }
  out.disk = in.disk;
  return out;
}

std::uint64_t HashOf(const std::vector<BackendServer>& servers) {
  std::uint64_t out = 0;
  for (const auto& it : servers) {
    // The remaining cold time changes all the time, so only whether the server
    // is cold goes into the hash.
    const auto text = it.id + "|" + it.service + "|" + it.address + "|" +
                      it.data_centre + "|" + std::to_string(it.slots) +
                      (it.leaving ? "|leaving" : "|") +
                      std::to_string(it.started.count()) +
                      (it.cold_remaining.count() > 0 ? "|cold" : "|");
    out ^= Hash64(text);
  }
  return out;
}

}  // namespace comfreyfold
