#ifndef CORE_TOKEN_LEDGER_H_
#define CORE_TOKEN_LEDGER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace comfreyfold {

// Tokens of a program's budget that one request took: the most it may
// generate while it runs, and what its client got once it has ended.
struct TokenUse {
  std::string program;
  std::string request;
  std::int64_t tokens = 0;
  bool settled = false;
  std::chrono::milliseconds expires_at{0};  // Since the Unix epoch.
  std::string server;  // That generated them; empty until it is settled.

  friend bool operator==(const TokenUse&, const TokenUse&) = default;
};

// Merges uses from several replicas: order and repeats do not matter.
class TokenLedger {
 public:
  // True when `use` said something new.
  bool Merge(const TokenUse& use);
  std::int64_t total() const;
  std::int64_t total_without(const std::string& request) const;
  // What requests other than `use.request` hold that began within `age` before
  // it and have not ended, as far as is known: some of it may be free soon.
  std::int64_t ReservedByOthers(const TokenUse& use,
                                std::chrono::milliseconds age) const;
  const std::map<std::string, TokenUse>& uses() const { return uses_; }
  // How long before `use` the program's first request began.
  std::chrono::milliseconds ProgramAgeAt(const TokenUse& use) const;
  // The server that last generated any: it is likely to have the program's
  // prompt cached. Empty when it is not known.
  std::string LastServer() const;
  bool Expired(std::chrono::milliseconds now) const;

 private:
  std::map<std::string, TokenUse> uses_;  // By request.
};

// The ledgers of all programs that one replica knows.
class TokenLedgers {
 public:
  // The uses among `uses` that said something new.
  std::vector<TokenUse> Merge(const std::vector<TokenUse>& uses);
  std::vector<TokenUse> ForProgram(const std::string& program) const;
  // The names of all programs, in order.
  std::vector<std::string> Programs() const;
  void Expire(std::chrono::milliseconds now);
  std::size_t size() const { return programs_.size(); }

 private:
  std::map<std::string, TokenLedger> programs_;
};

}  // namespace comfreyfold

#endif  // CORE_TOKEN_LEDGER_H_
