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

// A body that is not what its type says.
class WireError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// What a caller asks of a program's owner.
enum class Operation {
  kModel = 0,
  kTool = 1,
  kService = 2,
  kEnd = 3,       // End the program.
  kHistory = 4,   // Its history as JSON.
  kAnswer = 5,    // The answer recorded under the key.
  kSubagent = 6,  // Count the program named by the key as its sub-agent.
};

inline constexpr Operation kLastOperation = Operation::kSubagent;

// A call on its way from the daemon that took it to the lane's owner.
struct ForwardedCall {
  std::string customer;
  std::string program;
  std::string key;
  std::int64_t call = 0;  // 0: the program's next.
  Operation operation = Operation::kModel;
  std::string target;
  std::string body;
  std::chrono::milliseconds deadline{};  // Time left when it was sent.
  std::int64_t clock = 0;                // Hybrid logical clock.
  std::string parent;                    // Program that started this one.
};

enum class FrameKind { kDelta = 0, kDone = 1, kError = 2 };
inline constexpr FrameKind kLastFrameKind = FrameKind::kError;

// A piece of an answer on its way back.
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

// Thrift compact encoding of each type; Decode throws WireError.
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

// Splits a stream of frames, each after its length in four bytes.
class FrameReader {
 public:
  void Feed(std::string_view data,
            const std::function<void(AnswerFrame)>& on_frame);

 private:
  std::string buf_;
};

// A frame with its length, as FrameReader takes it.
std::string EncodeFramed(const AnswerFrame& frame);

}  // namespace comfreyfold

#endif  // WIRE_CODEC_H_
