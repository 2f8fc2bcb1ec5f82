#ifndef SERVER_PEER_PROTOCOL_H_
#define SERVER_PEER_PROTOCOL_H_

namespace comfreyfold {

// The interface between daemons: Thrift structs in the compact encoding as
// bodies of HTTP requests.
inline constexpr char kThriftType[] = "application/vnd.apache.thrift.compact";

inline constexpr char kPeerPrefix[] = "/peer/";
inline constexpr char kCallPath[] = "/peer/call";            // ForwardedCall.
inline constexpr char kOutcomePath[] = "/peer/outcome";      // LaneBlock.
inline constexpr char kHeartbeatPath[] = "/peer/heartbeat";  // Heartbeat.
inline constexpr char kContractsPath[] = "/peer/contracts";  // ContractSet.
// SpoolRequest, answered by SpoolAnswer.
inline constexpr char kSpoolStorePath[] = "/peer/spool/store";
inline constexpr char kSpoolSealPath[] = "/peer/spool/seal";
inline constexpr char kSpoolForgetPath[] = "/peer/spool/forget";
inline constexpr char kServersPath[] = "/peer/servers";     // ServerNews.
inline constexpr char kGiveBackPath[] = "/peer/give-back";  // GrantQuestion.
inline constexpr char kGrantUsePath[] = "/peer/grant-use";  // GrantQuestion.

// Key, in the key-value service, of a daemon on the list of members.
inline constexpr char kMemberPrefix[] = "members/";

// HTTP status of a daemon that does not own the lane: nothing was run.
inline constexpr int kMisdirected = 421;

}  // namespace comfreyfold

#endif  // SERVER_PEER_PROTOCOL_H_
