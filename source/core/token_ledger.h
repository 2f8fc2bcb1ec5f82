#ifndef CORE_TOKEN_LEDGER_H_
#define CORE_TOKEN_LEDGER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace comfreyfold {

// Tokens of a program's budget that one request uses. While the request runs,
// this is the maximum it may generate; once it is settled, the tokens that its
// client received.
struct TokenUse {
  std::string program;
  std::string request;
  std::int64_t tokens = 0;
  bool settled = false;
  std::chrono::milliseconds expires_at{0};  // Since the Unix epoch.
  // Server that generated the tokens; empty until the use is settled.
  std::string server;
  // Software version of the server at which the request's stream begins, and
  // the number of times it was chosen. The last choice counts; 0: none.
  std::string version;
  std::int32_t version_choice = 0;

  friend bool operator==(const TokenUse&, const TokenUse&) = default;
};

// The token uses of one program, merged from several replicas. The result does
// not depend on the order of the merges, nor on repeated ones.
class TokenLedger {
 public:
  // Returns whether `use` changed the ledger.
  bool Merge(const TokenUse& use);
  std::int64_t total() const;
  std::int64_t total_without(const std::string& request) const;
  // Returns the tokens reserved by requests other than `use.request` that are
  // not known to be settled and began after it or at most `age` before it. Some
  // of these tokens may be released soon.
  std::int64_t ReservedByOthers(const TokenUse& use,
                                std::chrono::milliseconds age) const;
  const std::map<std::string, TokenUse>& uses() const { return uses_; }
  // Returns the use of `request`, an empty one if it is not known.
  TokenUse UseOf(const std::string& request) const;
  // Returns how long before `use` the first request of the program began.
  std::chrono::milliseconds ProgramAgeAt(const TokenUse& use) const;
  // Returns the server of the newest settled use, which is likely to have the
  // program's prompt cached. Empty if it is not known.
  std::string LastServer() const;
  // True when all uses have expired.
  bool Expired(std::chrono::milliseconds now) const;

 private:
  std::map<std::string, TokenUse> uses_;  // By request.
};

// The ledgers of all programs that one replica stores.
class TokenLedgers {
 public:
  // Merges `uses` and returns those that changed a ledger.
  std::vector<TokenUse> Merge(const std::vector<TokenUse>& uses);
  std::vector<TokenUse> ForProgram(const std::string& program) const;
  // Returns the names of all programs in ascending order.
  std::vector<std::string> Programs() const;
  // Removes the programs all of whose uses have expired.
  void Expire(std::chrono::milliseconds now);
  std::size_t size() const { return programs_.size(); }

 private:
  std::map<std::string, TokenLedger> programs_;
};

}  // namespace comfreyfold

#endif  // CORE_TOKEN_LEDGER_H_
