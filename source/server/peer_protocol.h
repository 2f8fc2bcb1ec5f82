#ifndef SERVER_PEER_PROTOCOL_H_
#define SERVER_PEER_PROTOCOL_H_

namespace comfreyfold {

// Paths and constants of the interface between daemons. The bodies of requests
// and replies are Thrift structs in the compact encoding.
inline constexpr char kThriftType[] = "application/vnd.apache.thrift.compact";

inline constexpr char kPeerPrefix[] = "/peer/";
// Request body: ForwardedCall. Reply: a stream of framed AnswerFrames.
inline constexpr char kCallPath[] = "/peer/call";
// Request body: LaneBlock.
inline constexpr char kOutcomePath[] = "/peer/outcome";
// Request body and reply: MemberMessage.
inline constexpr char kHeartbeatPath[] = "/peer/heartbeat";
// GET. Reply: ContractSet.
inline constexpr char kContractsPath[] = "/peer/contracts";
// Request body: SpoolRequest. Reply: SpoolAnswer.
inline constexpr char kSpoolStorePath[] = "/peer/spool/store";
inline constexpr char kSpoolSealPath[] = "/peer/spool/seal";
inline constexpr char kSpoolForgetPath[] = "/peer/spool/forget";
// Request body: ServerNews.
inline constexpr char kServersPath[] = "/peer/servers";
// Request body: GrantQuestion.
inline constexpr char kGiveBackPath[] = "/peer/give-back";
// Request body: GrantQuestion. Reply: GrantAnswer.
inline constexpr char kGrantUsePath[] = "/peer/grant-use";

// Prefix of the member list's keys in the key-value service; the daemon's id
// follows it.
inline constexpr char kMemberPrefix[] = "members/";

// HTTP status with which a daemon that does not own the lane rejects a request.
// Nothing was run.
inline constexpr int kMisdirected = 421;

// HTTP status for an outcome that is queued for the journal, so that it can be
// sent again.
inline constexpr int kOutcomePending = 503;

}  // namespace comfreyfold

#endif  // SERVER_PEER_PROTOCOL_H_
