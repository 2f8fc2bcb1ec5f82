#ifndef WIRE_CODEC_H_
#define WIRE_CODEC_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "core/contract_set.h"
#include "core/grant_use.h"
#include "core/heartbeat.h"
#include "core/lane_entry.h"
#include "core/server_state.h"
#include "wire/spool_messages.h"

namespace comfreyfold {

// Thrown when a message cannot be decoded.
class WireError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// What a client's request asks the owner of the program's lane to do.
enum class Operation {
  kModel = 0,
  kTool = 1,
  kService = 2,
  kEnd = 3,       // End the program.
  kHistory = 4,   // Return the program's history as JSON.
  kAnswer = 5,    // Return the answer that is recorded under `key`.
  kSubagent = 6,  // Count the program named by `key` as a sub-agent.
};

inline constexpr Operation kLastOperation = Operation::kSubagent;

// A call as the daemon that received it from the client forwards it to the
// owner of the program's lane.
struct ForwardedCall {
  std::string customer;
  std::string program;
  std::string key;
  std::int64_t call = 0;  // Number of the call; 0: the program's next.
  Operation operation = Operation::kModel;
  std::string target;
  std::string body;
  std::chrono::milliseconds deadline{};  // Time left when it was forwarded.
  std::int64_t clock = 0;                // Hybrid logical clock.
  std::string parent;                    // The program that started this one.
};

enum class FrameKind { kDelta = 0, kDone = 1, kError = 2 };
inline constexpr FrameKind kLastFrameKind = FrameKind::kError;

// A part of the answer that the lane's owner streams back.
struct AnswerFrame {
  FrameKind kind = FrameKind::kDelta;
  std::string content;
  int status = 200;
  Verdict verdict = Verdict::kRan;
  std::string code;
  std::string message;
  std::chrono::milliseconds retry_after{};
  std::int64_t prompt_tokens = 0;
  std::int64_t completion_tokens = 0;
  std::int64_t cached_tokens = 0;
  std::int64_t clock = 0;
};

// Thrift compact encoding of each type. The Decode functions throw WireError.
std::string Encode(const LaneBlock& block);
std::string Encode(const ForwardedCall& call);
std::string Encode(const AnswerFrame& frame);
std::string Encode(const MemberMessage& message);
std::string Encode(const ServerNews& news);
std::string Encode(const ContractSet& contracts);
std::string Encode(const GrantQuestion& question);
std::string Encode(const GrantAnswer& answer);
std::string Encode(const SpoolRequest& request);
std::string Encode(const SpoolAnswer& answer);
LaneBlock DecodeLaneBlock(const std::string& buf);
ForwardedCall DecodeForwardedCall(const std::string& buf);
AnswerFrame DecodeAnswerFrame(const std::string& buf);
MemberMessage DecodeMemberMessage(const std::string& buf);
ServerNews DecodeServerNews(const std::string& buf);
ContractSet DecodeContractSet(const std::string& buf);
GrantQuestion DecodeGrantQuestion(const std::string& buf);
GrantAnswer DecodeGrantAnswer(const std::string& buf);
SpoolRequest DecodeSpoolRequest(const std::string& buf);
SpoolAnswer DecodeSpoolAnswer(const std::string& buf);

// Parses a stream of frames. Each frame follows its length, which is four bytes
// in little-endian order.
class FrameReader {
 public:
  // Calls `on_frame` for every frame that `data` completes. Throws WireError
  // when a frame is too long or cannot be decoded.
  void Feed(std::string_view data,
            const std::function<void(AnswerFrame)>& on_frame);

 private:
  std::string buf_;
};

// The encoded frame preceded by its length, as FrameReader expects it.
std::string EncodeFramed(const AnswerFrame& frame);

}  // namespace comfreyfold

#endif  // WIRE_CODEC_H_
