#include <utility>

#include "wire/compact.h"
#include "wire/gen/comfreyfold_types.h"
#include "wire/storage_messages.h"
#include "wire/storage_wire.h"

namespace comfreyfold {

namespace {

using detail::Read;
using detail::ToEnum;
using detail::Write;

wire::TurnRecord ToWire(const TurnRecord& turn) {
  wire::TurnRecord out;
  out.id = turn.id;
  out.parent = turn.parent;
  out.input = turn.input;
  out.output = turn.output;
  out.expires_at_ms = turn.expires_at.count();
  return out;
}

TurnRecord FromWire(wire::TurnRecord&& turn) {
  return {std::move(turn.id), std::move(turn.parent), std::move(turn.input),
          std::move(turn.output),
          std::chrono::milliseconds(turn.expires_at_ms)};
}

wire::TokenUse ToWire(const TokenUse& use) {
  wire::TokenUse out;
  out.program = use.program;
  out.request = use.request;
  out.tokens = use.tokens;
  out.settled = use.settled;
  out.expires_at_ms = use.expires_at.count();
  out.server = use.server;
  out.software_version = use.version;
  out.version_choice = use.version_choice;
  return out;
}

TokenUse FromWire(wire::TokenUse&& use) {
  return {std::move(use.program),
          std::move(use.request),
          use.tokens,
          use.settled,
          std::chrono::milliseconds(use.expires_at_ms),
          std::move(use.server),
          std::move(use.software_version),
          use.version_choice};
}

wire::StorageMember ToWire(const StorageMember& member) {
  wire::StorageMember out;
  out.disk = member.disk;
  out.vm = member.vm;
  out.address = member.address;
  out.data_centre = member.data_centre;
  return out;
}

StorageMember FromWire(const wire::StorageMember& member) {
  return {member.disk, member.vm, member.address, member.data_centre};
}

template <typename Out, typename In>
std::vector<Out> ConvertAll(const std::vector<In>& in,
                            Out (*convert)(const In&)) {
  std::vector<Out> out;
  out.reserve(in.size());
  for (const auto& it : in) {
    out.push_back(convert(it));
  }
  return out;
}

// The same for messages that are no longer needed.
template <typename Out, typename In>
std::vector<Out> MoveAll(std::vector<In>& in) {
  std::vector<Out> out;
  out.reserve(in.size());
  for (auto& it : in) {
    out.push_back(FromWire(std::move(it)));
  }
  return out;
}

}  // namespace

namespace detail {

wire::StorageList ToWire(const StorageList& list) {
  wire::StorageList out;
  out.version = list.version;
  out.epoch = list.epoch;
  out.members = ConvertAll<wire::StorageMember, StorageMember>(
      list.members, comfreyfold::ToWire);
  out.incoming = ConvertAll<wire::StorageMember, StorageMember>(
      list.next, comfreyfold::ToWire);
  out.synced = list.synced;
  out.recopies = list.recopies;
  return out;
}

StorageList FromWire(const wire::StorageList& list) {
  StorageList out;
  out.version = list.version;
  out.epoch = list.epoch;
  out.members = ConvertAll<StorageMember, wire::StorageMember>(
      list.members, comfreyfold::FromWire);
  out.next = ConvertAll<StorageMember, wire::StorageMember>(
      list.incoming, comfreyfold::FromWire);
  out.synced = list.synced;
  out.recopies = list.recopies;
  return out;
}

}  // namespace detail

std::string Encode(const StorageRequest& request) {
  wire::StorageRequest out;
  out.operation = static_cast<int>(request.operation);
  out.epoch = request.epoch;
  out.turns = ConvertAll<wire::TurnRecord, TurnRecord>(request.turns, ToWire);
  out.uses = ConvertAll<wire::TokenUse, TokenUse>(request.uses, ToWire);
  out.ids = request.ids;
  out.keep_until_ms = request.keep_until.count();
  out.program = request.program;
  if (request.members) {
    out.__set_members(detail::ToWire(*request.members));
  }
  if (request.packs) {
    out.__set_packs(true);
  }
  if (!request.keys.empty()) {
    out.__set_keys(PackKeys(request.keys));
  }
  return Write(out);
}

StorageRequest DecodeStorageRequest(const std::string& buf) {
  auto in = Read<wire::StorageRequest>(buf);
  StorageRequest out;
  out.operation = ToEnum(in.operation, kLastStorageOperation);
  out.epoch = in.epoch;
  out.turns = MoveAll<TurnRecord>(in.turns);
  out.uses = MoveAll<TokenUse>(in.uses);
  out.ids = std::move(in.ids);
  out.keep_until = std::chrono::milliseconds(in.keep_until_ms);
  out.program = std::move(in.program);
  if (in.__isset.members) {
    out.members = detail::FromWire(in.members);
  }
  out.packs = in.__isset.packs && in.packs;
  if (in.__isset.keys) {
    out.keys = UnpackKeys(in.keys);
  }
  return out;
}

std::string Encode(const StorageReply& reply) {
  wire::StorageReply out;
  out.status = static_cast<int>(reply.status);
  out.whole = reply.whole;
  out.turns = ConvertAll<wire::TurnRecord, TurnRecord>(reply.turns, ToWire);
  out.uses = ConvertAll<wire::TokenUse, TokenUse>(reply.uses, ToWire);
  out.ids = reply.ids;
  for (const auto& it : reply.expiries) {
    out.expiries_ms.push_back(it.count());
  }
  out.full = reply.full;
  out.overfull = reply.overfull;
  out.room_in_ms = reply.room_in.count();
  out.new_chains_in_ms = reply.new_chains_in.count();
  if (reply.members) {
    out.__set_members(detail::ToWire(*reply.members));
  }
  if (!reply.digest.empty()) {
    out.__set_digest(reply.digest);
  }
  return Write(out);
}

StorageReply DecodeStorageReply(const std::string& buf) {
  auto in = Read<wire::StorageReply>(buf);
  StorageReply out;
  out.status = ToEnum(in.status, kLastStorageStatus);
  out.whole = in.whole;
  out.turns = MoveAll<TurnRecord>(in.turns);
  out.uses = MoveAll<TokenUse>(in.uses);
  out.ids = std::move(in.ids);
  for (const auto it : in.expiries_ms) {
    out.expiries.emplace_back(it);
  }
  out.full = in.full;
  out.overfull = in.overfull;
  out.room_in = std::chrono::milliseconds(in.room_in_ms);
  out.new_chains_in = std::chrono::milliseconds(in.new_chains_in_ms);
  if (in.__isset.members) {
    out.members = detail::FromWire(in.members);
  }
  if (in.__isset.digest) {
    out.digest = std::move(in.digest);
  }
  return out;
}

std::string Encode(const StorageList& list) {
  return Write(detail::ToWire(list));
}

StorageList DecodeStorageList(const std::string& buf) {
  return detail::FromWire(Read<wire::StorageList>(buf));
}

}  // namespace comfreyfold
