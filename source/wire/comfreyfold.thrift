// Messages between daemons and the records of the lane journal and the disk log.
// Daemons of different versions exchange them, so fields are only added and field
// ids are never reused or changed.
namespace cpp comfreyfold.wire

struct SpoolHolder {
  1: string daemon,
  2: string spool,
}

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
  41: string grant,
  42: list<SpoolHolder> holders,
}

struct GrantName {
  1: string customer,
  2: string grant,
}

struct GrantQuestion {
  1: list<GrantName> grants,
}

struct GrantUse {
  1: i32 lane,
  2: GrantName name,
  3: i64 tokens,
}

struct GrantAnswer {
  1: list<i32> lanes,
  2: list<GrantUse> uses,
}

struct LaneBlock {
  1: i64 number,
  2: string uid,
  3: i64 epoch,
  4: string owner,
  5: list<LaneEntry> entries,
}

struct CallRecord {
  1: string key,
  2: i64 call,
  3: i32 kind,
  4: string target,
  5: string backend,
  6: bool idempotent,
  7: binary request,
  8: i64 request_digest,
  9: bool done,
  10: i64 epoch,
  11: i32 verdict,
  12: i32 status,
  13: binary answer,
  14: i64 tokens,
  15: string held_by,
}

struct ProgramState {
  1: string customer,
  2: string program,
  3: list<CallRecord> calls,
  4: set<string> holds_on,
  5: bool ended,
  6: string passed_limit,
  7: i64 tokens,
  8: i64 started_at_ms,
  9: set<string> subagents,
  10: i64 last_begun_at_ms,
}

struct GrantTotal {
  1: GrantName name,
  2: i64 tokens,
}

// The encoded snapshot is split into parts that fit into one value of the
// key-value service.
struct LaneSnapshot {
  1: i64 last_block,
  2: i64 epoch,
  3: string owner,
  4: list<ProgramState> programs,
  5: list<GrantTotal> grants,
  6: list<SpoolHolder> holders,
}

// Refers to the newest complete snapshot of a lane.
struct SnapshotHead {
  1: string uid,
  2: i32 parts,
  3: i64 last_block,
  4: i64 bytes,
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
  // Id 8 was has_data_folder; it must not be reused.
  9: i64 incarnation,
  10: string spool,
}

struct DeadMember {
  1: string daemon,
  2: i64 incarnation,
}

struct MemberMessage {
  1: Heartbeat sender,
  2: list<Heartbeat> news,
  3: list<DeadMember> dead,
}

// A request to a daemon that holds blocks of a lane: to store `block`, to seal
// the lane against epochs below `epoch` and return the blocks after `number`, or
// to forget the blocks up to `number`.
struct SpoolRequest {
  1: string spool,
  2: i32 lane,
  3: i64 epoch,
  4: i64 number,
  5: binary block,
}

struct SpoolAnswer {
  1: i32 status,
  2: list<binary> blocks,
}

// The state of a backend server as observed by a daemon that polls it.
struct ServerState {
  1: string server,
  2: i32 condition,
  3: i64 clock,
  4: i64 slots,
}

struct ServerNews {
  1: list<ServerState> servers,
}

// A turn of a program: what one request added to the chain of its turns.
struct TurnRecord {
  1: string id,
  2: string parent,
  3: binary input,
  4: binary output,
  5: i64 expires_at_ms,
}

// Tokens of a program's budget that one request reserved, or has used once
// `settled` is set.
struct TokenUse {
  1: string program,
  2: string request,
  3: i64 tokens,
  4: bool settled,
  5: i64 expires_at_ms,
  6: string server,
  7: string software_version, // Of the server that the request's stream begins at.
  8: i32 version_choice,
}

struct StorageMember {
  1: string disk,
  2: string vm,
  3: string address,
  4: string data_centre,
}

struct StorageList {
  1: i64 version,
  2: i64 epoch,
  3: list<StorageMember> members,
  4: list<StorageMember> incoming,
  5: list<string> synced,
  6: bool recopies,
}

// A request to a storage daemon; also an entry of its disk log.
struct StorageRequest {
  1: i32 operation,
  2: i64 epoch,
  3: list<TurnRecord> turns,
  4: list<TokenUse> uses,
  5: list<string> ids,
  6: i64 keep_until_ms,
  7: string program,
  8: optional StorageList members,
  16: optional bool packs, // The digest is wanted as 'digest', not as 'ids'.
  17: optional binary keys, // Packed keys of the turns to return.
}

struct StorageReply {
  1: i32 status,
  2: bool whole,
  3: list<TurnRecord> turns,
  4: list<TokenUse> uses,
  5: list<string> ids,
  6: optional StorageList members,
  7: list<i64> expiries_ms,
  8: bool full, // No room for turns that have not run.
  9: bool overfull, // No room for turns that have run either.
  10: i64 room_in_ms, // Until there is room again, if full.
  11: i64 new_chains_in_ms, // Until there is room for new chains; 0: there is.
  16: optional binary digest, // Packed keys and expiries of turns.
}

struct RegisteredServer {
  1: string id,
  2: string service_name,
  3: string address,
  4: string data_centre,
  5: i32 slots,
  6: bool leaving,
  7: i64 cold_left_ms,
  8: i64 started_ms,
  9: string software_version,
}

struct LoadNote {
  1: string server,
  2: i32 requests,
  3: i64 age_ms,
}

// A request that a backend server failed, as one daemon saw it.
struct ServerFault {
  1: string server,
  2: i64 origin, // Of the daemon; random at each of its starts.
  3: i64 number, // Of the fault, counted by that daemon.
  4: i64 age_ms,
}

// How a run of a request ended that may be one that crashes backend servers.
struct SuspectRun {
  1: i64 fingerprint, // Of the request.
  2: string server,
  3: bool crashed,
  4: i64 age_ms,
  5: bool had_output,
  6: bool any_body, // The fingerprint is that of the target.
}

// What a backend server said about the rate of requests that it takes.
struct ServerLimit {
  1: string server,
  2: i64 started_ms,
  3: optional double per_second, // Missing: the server names no limit.
  4: i64 age_ms,
}

// A daemon's request for permits, each for one request to a server with a
// limit, and the reply of an issuer.
struct PermitRequest {
  1: string server,
  2: i32 wanted,
}

struct PermitQuestion {
  1: list<PermitRequest> requests,
  2: list<ServerLimit> limits, // Of these servers.
  3: string address, // Of the sender.
}

struct PermitReply {
  1: string server,
  2: list<i64> valid_in_ms, // For each permit that is granted.
  3: i64 retry_in_ms,
}

struct PermitNews {
  1: list<PermitReply> replies,
  2: list<ServerLimit> limits, // Those that the sender does not know.
  3: i32 daemons, // Number of daemons that ask this issuer.
}

// A daemon's request for the state of the deployment. It says what the sender
// already has, so that FleetNews can leave that out.
struct FleetQuestion {
  1: i64 config_version,
  2: i64 list_version,
  3: i64 servers_hash,
  4: list<LoadNote> loads,
  5: i64 loads_within_ms,
  6: string address,
  7: list<ServerFault> faults,
  8: list<SuspectRun> suspect_runs,
  9: i64 blamed_hash, // Of the requests that the sender has quarantined.
  10: list<ServerLimit> limits,
  11: i64 limits_hash, // Of the servers' limits that the sender knows.
}

// What a storage daemon keeps on its disk for starts at which the key-value
// service does not answer.
struct KeptFleet {
  1: i64 config_version,
  2: binary config_text,
  3: list<RegisteredServer> servers,
  4: i64 kept_at_ms, // Time of day.
  5: list<SuspectRun> suspect_runs,
}

struct FleetNews {
  1: i64 config_version,
  2: i64 config_age_ms,
  3: binary config_text,
  4: i64 servers_age_ms,
  5: i64 servers_hash,
  6: optional list<RegisteredServer> servers,
  7: optional StorageList members,
  8: set<string> retiring,
  9: list<LoadNote> loads,
  10: list<string> daemons,
  11: list<ServerFault> faults,
  12: optional KeptFleet kept,
  13: string disk, // Of the replying daemon, if it has one.
  14: list<SuspectRun> suspect_runs,
  15: i64 blamed_hash,
  16: i64 retiring_revision, // Of the store, when 'retiring' was read.
  17: list<ServerLimit> limits,
  18: i64 limits_hash,
}
