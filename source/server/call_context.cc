#include "server/call_context.h"

#include <algorithm>

#include "core/hash.h"

namespace comfreyfold {

namespace {

using std::chrono::milliseconds;

CallKind KindOf(Operation operation) {
  switch (operation) {
    case Operation::kTool:
      return CallKind::kTool;
    case Operation::kService:
      return CallKind::kService;
    default:
      return CallKind::kModel;
  }
}

}  // namespace

milliseconds WallClock() {
  return std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

milliseconds CallContext::time_left() const {
  return std::max(milliseconds(1),
                  std::chrono::duration_cast<milliseconds>(
                      deadline - std::chrono::steady_clock::now()));
}

const ProgramState* CallContext::state() const {
  return lane->state().Find(program);
}

std::uint64_t CallContext::Digest() const {
  return Hash64(call.body, Hash64(call.target,
                                  static_cast<std::uint64_t>(call.operation)));
}

LaneEntry CallContext::MakeEntry(EntryKind kind) const {
  LaneEntry out;
  out.kind = kind;
  out.customer = program.customer;
  out.program = program.program;
  out.key = call.key;
  out.call = call_number;
  out.call_kind = KindOf(call.operation);
  out.target = call.target;
  out.request_digest = Digest();
  if (kind == EntryKind::kCallBegun) {
    out.begun_at = WallClock();
  }
  return out;
}

}  // namespace comfreyfold
