#include "wire/snapshot_codec.h"

#include <utility>

#include "wire/compact.h"
#include "wire/gen/comfreyfold_types.h"

namespace comfreyfold {

namespace {

wire::CallRecord ToWire(const CallRecord& call) {
  wire::CallRecord out;
  out.key = call.key;
  out.call = call.call;
  out.kind = static_cast<int>(call.kind);
  out.target = call.target;
  out.backend = call.backend;
  out.idempotent = call.idempotent;
  out.request = call.request;
  out.request_digest = static_cast<std::int64_t>(call.request_digest);
  out.done = call.done;
  out.epoch = call.epoch;
  out.verdict = static_cast<int>(call.verdict);
  out.status = call.status;
  out.answer = call.answer;
  out.tokens = call.tokens;
  out.held_by = call.held_by;
  return out;
}

CallRecord FromWire(const wire::CallRecord& call) {
  CallRecord out;
  out.key = call.key;
  out.call = call.call;
  out.kind = detail::ToEnum(call.kind, CallKind::kService);
  out.target = call.target;
  out.backend = call.backend;
  out.idempotent = call.idempotent;
  out.request = call.request;
  out.request_digest = static_cast<std::uint64_t>(call.request_digest);
  out.done = call.done;
  out.epoch = call.epoch;
  out.verdict = detail::ToEnum(call.verdict, Verdict::kRan);
  out.status = call.status;
  out.answer = call.answer;
  out.held_by = call.held_by;
  out.tokens = call.tokens;
  return out;
}

wire::ProgramState ToWire(const ProgramState& program) {
  wire::ProgramState out;
  out.customer = program.customer;
  out.program = program.program;
  for (const auto& it : program.calls) {
    out.calls.push_back(ToWire(it));
  }
  out.holds_on = program.holds_on;
  out.ended = program.ended;
  out.passed_limit = program.passed_limit;
  out.tokens = program.tokens;
  out.started_at_ms = program.started_at.count();
  out.last_begun_at_ms = program.last_begun_at.count();
  out.subagents = program.subagents;
  return out;
}

ProgramState FromWire(const wire::ProgramState& program) {
  ProgramState out;
  out.customer = program.customer;
  out.program = program.program;
  for (const auto& it : program.calls) {
    out.calls.push_back(FromWire(it));
  }
  out.holds_on = program.holds_on;
  out.ended = program.ended;
  out.passed_limit = program.passed_limit;
  out.tokens = program.tokens;
  out.started_at = std::chrono::milliseconds(program.started_at_ms);
  out.last_begun_at = std::chrono::milliseconds(program.last_begun_at_ms);
  out.subagents = program.subagents;
  return out;
}

}  // namespace

std::string Encode(const LaneSnapshot& snapshot) {
  wire::LaneSnapshot out;
  out.last_block = snapshot.last_block;
  out.epoch = snapshot.epoch;
  out.owner = snapshot.owner;
  for (const auto& it : snapshot.programs) {
    out.programs.push_back(ToWire(it));
  }
  for (const auto& it : snapshot.grants) {
    wire::GrantTotal grant;
    grant.name.customer = it.name.customer;
    grant.name.grant = it.name.grant;
    grant.tokens = it.tokens;
    out.grants.push_back(grant);
  }
  for (const auto& it : snapshot.holders) {
    auto& holder = out.holders.emplace_back();
    holder.daemon = it.daemon;
    holder.spool = it.spool;
  }
  return detail::Write(out);
}

LaneSnapshot DecodeLaneSnapshot(const std::string& buf) {
  const auto in = detail::Read<wire::LaneSnapshot>(buf);
  LaneSnapshot out{in.last_block, in.epoch, in.owner, {}, {}, {}};
  for (const auto& it : in.programs) {
    out.programs.push_back(FromWire(it));
  }
  for (const auto& it : in.grants) {
    out.grants.push_back({{it.name.customer, it.name.grant}, it.tokens});
  }
  for (const auto& it : in.holders) {
    out.holders.push_back({it.daemon, it.spool});
  }
  return out;
}

std::string Encode(const SnapshotHead& head) {
  wire::SnapshotHead out;
  out.uid = head.uid;
  out.parts = head.parts;
  out.last_block = head.last_block;
  out.bytes = head.bytes;
  return detail::Write(out);
}

SnapshotHead DecodeSnapshotHead(const std::string& buf) {
  const auto in = detail::Read<wire::SnapshotHead>(buf);
  return {in.uid, in.parts, in.last_block, in.bytes};
}

}  // namespace comfreyfold
