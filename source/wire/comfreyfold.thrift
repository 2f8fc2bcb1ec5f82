// Bodies that the daemons send each other, and the records of the lane
// journal. Fields are only ever added, never renumbered.
namespace cpp comfreyfold.wire

struct LaneEntry {
  1: i32 kind,
  2: string customer,
  3: string program,
  4: string key,
  5: i64 call,
  6: i32 call_kind,
  7: string target,
  8: string backend,
  9: bool idempotent,
  10: binary request,
  11: i64 request_digest,
  12: i32 verdict,
  13: i32 status,
  14: binary answer,
  15: i64 tokens,
  40: i64 begun_at_ms,
}

struct LaneBlock {
  1: i64 number,
  2: string uid,
  3: i64 epoch,
  4: string owner,
  5: list<LaneEntry> entries,
}

struct ForwardedCall {
  1: string customer,
  2: string program,
  3: string key,
  4: i64 call,
  5: i32 operation,
  6: string target,
  7: binary body,
  8: i64 deadline_ms,
  9: i64 clock,
  10: string parent,
}

struct AnswerFrame {
  1: i32 kind,
  2: binary content,
  3: i32 status,
  4: i32 verdict,
  5: string code,
  6: string message,
  7: i64 retry_after_ms,
  8: i64 prompt_tokens,
  9: i64 completion_tokens,
  10: i64 cached_tokens,
  11: i64 clock,
}

struct ContractText {
  1: string customer,
  2: string text,
}

struct ContractSet {
  1: i64 revision,
  2: list<ContractText> contracts,
}

struct OwnedLane {
  1: i32 lane,
  2: i64 epoch,
}

struct Heartbeat {
  1: string daemon,
  2: string address,
  3: string data_centre,
  4: bool draining,
  5: list<OwnedLane> lanes,
  6: i64 contracts_revision,
  7: i64 clock,
  8: bool has_data_folder,
}
