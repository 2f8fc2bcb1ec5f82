#include "wire/codec.h"

#include "wire/compact.h"
#include "wire/gen/comfreyfold_types.h"

namespace comfreyfold {

namespace {

using detail::Read;
using detail::ToEnum;
using detail::Write;

constexpr std::size_t kLengthPrefixBytes = 4;
constexpr std::size_t kMaxFrameBytes = 64 * 1024 * 1024;

wire::SpoolHolder ToWire(const SpoolHolder& holder) {
  wire::SpoolHolder out;
  out.daemon = holder.daemon;
  out.spool = holder.spool;
  return out;
}

wire::LaneEntry ToWire(const LaneEntry& entry) {
  wire::LaneEntry out;
  out.kind = static_cast<int>(entry.kind);
  out.customer = entry.customer;
  out.program = entry.program;
  out.key = entry.key;
  out.call = entry.call;
  out.call_kind = static_cast<int>(entry.call_kind);
  out.target = entry.target;
  out.backend = entry.backend;
  out.idempotent = entry.idempotent;
  out.request = entry.request;
  out.request_digest = static_cast<std::int64_t>(entry.request_digest);
  out.verdict = static_cast<int>(entry.verdict);
  out.status = entry.status;
  out.answer = entry.answer;
  out.tokens = entry.tokens;
  out.begun_at_ms = entry.begun_at.count();
  out.grant = entry.grant;
  for (const auto& it : entry.holders) {
    out.holders.push_back(ToWire(it));
  }
  return out;
}

LaneEntry FromWire(const wire::LaneEntry& entry) {
  LaneEntry out;
  out.kind = ToEnum(entry.kind, kLastEntryKind);
  out.customer = entry.customer;
  out.program = entry.program;
  out.key = entry.key;
  out.call = entry.call;
  out.call_kind = ToEnum(entry.call_kind, kLastCallKind);
  out.target = entry.target;
  out.backend = entry.backend;
  out.idempotent = entry.idempotent;
  out.request = entry.request;
  out.request_digest = static_cast<std::uint64_t>(entry.request_digest);
  out.verdict = ToEnum(entry.verdict, Verdict::kRan);
  out.status = entry.status;
  out.answer = entry.answer;
  out.tokens = entry.tokens;
  out.begun_at = std::chrono::milliseconds(entry.begun_at_ms);
  out.grant = entry.grant;
  for (const auto& it : entry.holders) {
    out.holders.push_back({it.daemon, it.spool});
  }
  return out;
}

wire::GrantName ToWire(const GrantName& name) {
  wire::GrantName out;
  out.customer = name.customer;
  out.grant = name.grant;
  return out;
}

wire::Heartbeat ToWire(const Heartbeat& heartbeat) {
  wire::Heartbeat out;
  out.daemon = heartbeat.daemon;
  out.address = heartbeat.address;
  out.data_centre = heartbeat.data_centre;
  out.draining = heartbeat.draining;
  for (const auto& it : heartbeat.lanes) {
    wire::OwnedLane lane;
    lane.lane = it.lane;
    lane.epoch = it.epoch;
    out.lanes.push_back(lane);
  }
  out.contracts_revision = heartbeat.contracts_revision;
  out.clock = heartbeat.clock;
  out.spool = heartbeat.spool;
  out.incarnation = heartbeat.incarnation;
  return out;
}

Heartbeat FromWire(const wire::Heartbeat& heartbeat) {
  Heartbeat out;
  out.daemon = heartbeat.daemon;
  out.address = heartbeat.address;
  out.data_centre = heartbeat.data_centre;
  out.draining = heartbeat.draining;
  for (const auto& it : heartbeat.lanes) {
    out.lanes.push_back({it.lane, it.epoch});
  }
  out.contracts_revision = heartbeat.contracts_revision;
  out.clock = heartbeat.clock;
  out.spool = heartbeat.spool;
  out.incarnation = heartbeat.incarnation;
  return out;
}

}  // namespace

std::string Encode(const LaneBlock& block) {
  wire::LaneBlock out;
  out.number = block.number;
  out.uid = block.uid;
  out.epoch = block.epoch;
  out.owner = block.owner;
  for (const auto& it : block.entries) {
    out.entries.push_back(ToWire(it));
  }
  return Write(out);
}

LaneBlock DecodeLaneBlock(const std::string& buf) {
  const auto in = Read<wire::LaneBlock>(buf);
  LaneBlock out;
  out.number = in.number;
  out.uid = in.uid;
  out.epoch = in.epoch;
  out.owner = in.owner;
  for (const auto& it : in.entries) {
    out.entries.push_back(FromWire(it));
  }
  return out;
}

std::string Encode(const ContractSet& contracts) {
  wire::ContractSet out;
  out.revision = contracts.revision;
  for (const auto& it : contracts.contracts) {
    auto& text = out.contracts.emplace_back();
    text.customer = it.customer;
    text.text = it.text;
  }
  return Write(out);
}

ContractSet DecodeContractSet(const std::string& buf) {
  const auto in = Read<wire::ContractSet>(buf);
  ContractSet out;
  out.revision = in.revision;
  for (const auto& it : in.contracts) {
    out.contracts.push_back({it.customer, it.text});
  }
  return out;
}

std::string Encode(const GrantQuestion& question) {
  wire::GrantQuestion out;
  for (const auto& it : question.grants) {
    out.grants.push_back(ToWire(it));
  }
  return Write(out);
}

GrantQuestion DecodeGrantQuestion(const std::string& buf) {
  const auto in = Read<wire::GrantQuestion>(buf);
  GrantQuestion out;
  for (const auto& it : in.grants) {
    out.grants.push_back({it.customer, it.grant});
  }
  return out;
}

std::string Encode(const GrantAnswer& answer) {
  wire::GrantAnswer out;
  out.lanes.assign(answer.lanes.begin(), answer.lanes.end());
  for (const auto& it : answer.uses) {
    auto& use = out.uses.emplace_back();
    use.lane = it.lane;
    use.name = ToWire(it.name);
    use.tokens = it.tokens;
  }
  return Write(out);
}

GrantAnswer DecodeGrantAnswer(const std::string& buf) {
  const auto in = Read<wire::GrantAnswer>(buf);
  GrantAnswer out;
  out.lanes.assign(in.lanes.begin(), in.lanes.end());
  for (const auto& it : in.uses) {
    out.uses.push_back({it.lane, {it.name.customer, it.name.grant}, it.tokens});
  }
  return out;
}

std::string Encode(const SpoolRequest& request) {
  wire::SpoolRequest out;
  out.spool = request.spool;
  out.lane = request.lane;
  out.epoch = request.epoch;
  out.number = request.number;
  out.block = request.block;
  return Write(out);
}

SpoolRequest DecodeSpoolRequest(const std::string& buf) {
  const auto in = Read<wire::SpoolRequest>(buf);
  return {in.spool, in.lane, in.epoch, in.number, in.block};
}

std::string Encode(const SpoolAnswer& answer) {
  wire::SpoolAnswer out;
  out.status = static_cast<int>(answer.status);
  out.blocks = answer.blocks;
  return Write(out);
}

SpoolAnswer DecodeSpoolAnswer(const std::string& buf) {
  const auto in = Read<wire::SpoolAnswer>(buf);
  return {ToEnum(in.status, kLastSpoolStatus), in.blocks};
}

std::string Encode(const ForwardedCall& call) {
  wire::ForwardedCall out;
  out.customer = call.customer;
  out.program = call.program;
  out.key = call.key;
  out.call = call.call;
  out.operation = static_cast<int>(call.operation);
  out.target = call.target;
  out.body = call.body;
  out.deadline_ms = call.deadline.count();
  out.clock = call.clock;
  out.parent = call.parent;
  return Write(out);
}

ForwardedCall DecodeForwardedCall(const std::string& buf) {
  const auto in = Read<wire::ForwardedCall>(buf);
  ForwardedCall out;
  out.customer = in.customer;
  out.program = in.program;
  out.key = in.key;
  out.call = in.call;
  out.operation = ToEnum(in.operation, kLastOperation);
  out.target = in.target;
  out.body = in.body;
  out.deadline = std::chrono::milliseconds(in.deadline_ms);
  out.clock = in.clock;
  out.parent = in.parent;
  return out;
}

std::string Encode(const AnswerFrame& frame) {
  wire::AnswerFrame out;
  out.kind = static_cast<int>(frame.kind);
  out.content = frame.content;
  out.status = frame.status;
  out.verdict = static_cast<int>(frame.verdict);
  out.code = frame.code;
  out.message = frame.message;
  out.retry_after_ms = frame.retry_after.count();
  out.prompt_tokens = frame.prompt_tokens;
  out.completion_tokens = frame.completion_tokens;
  out.cached_tokens = frame.cached_tokens;
  out.clock = frame.clock;
  return Write(out);
}

AnswerFrame DecodeAnswerFrame(const std::string& buf) {
  const auto in = Read<wire::AnswerFrame>(buf);
  AnswerFrame out;
  out.kind = ToEnum(in.kind, kLastFrameKind);
  out.content = in.content;
  out.status = in.status;
  out.verdict = ToEnum(in.verdict, Verdict::kRan);
  out.code = in.code;
  out.message = in.message;
  out.retry_after = std::chrono::milliseconds(in.retry_after_ms);
  out.prompt_tokens = in.prompt_tokens;
  out.completion_tokens = in.completion_tokens;
  out.cached_tokens = in.cached_tokens;
  out.clock = in.clock;
  return out;
}

std::string Encode(const MemberMessage& message) {
  wire::MemberMessage out;
  out.sender = ToWire(message.sender);
  for (const auto& it : message.news) {
    out.news.push_back(ToWire(it));
  }
  for (const auto& it : message.dead) {
    wire::DeadMember dead;
    dead.daemon = it.daemon;
    dead.incarnation = it.incarnation;
    out.dead.push_back(dead);
  }
  return Write(out);
}

MemberMessage DecodeMemberMessage(const std::string& buf) {
  const auto in = Read<wire::MemberMessage>(buf);
  MemberMessage out;
  out.sender = FromWire(in.sender);
  for (const auto& it : in.news) {
    out.news.push_back(FromWire(it));
  }
  for (const auto& it : in.dead) {
    out.dead.push_back({it.daemon, it.incarnation});
  }
  return out;
}

std::string Encode(const ServerNews& news) {
  wire::ServerNews out;
  for (const auto& it : news.servers) {
    wire::ServerState state;
    state.server = it.server;
    state.condition = static_cast<int>(it.condition);
    state.clock = it.clock;
    state.slots = it.slots;
    out.servers.push_back(state);
  }
  return Write(out);
}

ServerNews DecodeServerNews(const std::string& buf) {
  ServerNews out;
  const auto in = Read<wire::ServerNews>(buf);
  for (const auto& it : in.servers) {
    out.servers.push_back({it.server,
                           ToEnum(it.condition, kLastServerCondition), it.clock,
                           static_cast<int>(it.slots)});
  }
  return out;
}

std::string EncodeFramed(const AnswerFrame& frame) {
  const auto body = Encode(frame);
  const auto n = static_cast<std::uint32_t>(body.size());
  std::string out(kLengthPrefixBytes, '\0');
  for (std::size_t i = 0; i < kLengthPrefixBytes; ++i) {
    out[i] = static_cast<char>(n >> (8 * i));
  }
  return out + body;
}

void FrameReader::Feed(std::string_view data,
                       const std::function<void(AnswerFrame)>& on_frame) {
  buf_ += data;
  while (buf_.size() >= kLengthPrefixBytes) {
    std::size_t n = 0;
    for (std::size_t i = 0; i < kLengthPrefixBytes; ++i) {
      n |= static_cast<std::size_t>(static_cast<unsigned char>(buf_[i]))
           << (8 * i);
    }
    if (n > kMaxFrameBytes) {
      throw WireError("frame of " + std::to_string(n) +
                      " bytes exceeds the maximum frame size");
    }
    if (buf_.size() < kLengthPrefixBytes + n) {
      return;
    }
    auto frame = DecodeAnswerFrame(buf_.substr(kLengthPrefixBytes, n));
    buf_.erase(0, kLengthPrefixBytes + n);
    on_frame(std::move(frame));
  }
}

}  // namespace comfreyfold
