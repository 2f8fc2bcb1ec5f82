#ifndef CORE_PERMIT_WALLET_H_
#define CORE_PERMIT_WALLET_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/permit_issuer.h"
#include "core/server_limit_table.h"
#include "core/time_point.h"

namespace comfreyfold {

// The permits of one daemon for requests to servers with a limit, and what it
// asks the issuers for.
class PermitWallet {
 public:
  // Daemons with different seeds use servers on their own at different times.
  explicit PermitWallet(const ServerLimitTable& limits, std::uint64_t seed = 0)
      : limits_(limits), random_(seed) {}

  // Whether the server takes requests with a permit only.
  bool NeedsPermit(const std::string& server_id,
                   std::chrono::milliseconds started) const {
    return limits_.Find(server_id, started).has_value();
  }

  // Whether any server does.
  bool AnyLimits() const { return limits_.limited() > 0; }

  // Sets the issuers, the one to ask first first.
  void SetIssuers(std::vector<std::string> issuers);

  // Takes a permit that is valid now.
  bool Take(const std::string& server_id, TimePoint now);

  // The time until a permit for one more request, after `claims` others that
  // wait for the server, can be had. Null if no issuer has one soon.
  std::optional<std::chrono::milliseconds> WaitFor(const std::string& server_id,
                                                   int claims,
                                                   TimePoint now) const;
  // When an issuer may have a permit again, if WaitFor() returns null.
  TimePoint RetryAt(const std::string& server_id, TimePoint now) const;

  // Sets how many waiting requests would use the server if they had a permit.
  void SetWanted(const std::string& server_id, int wanted, TimePoint now);
  // Whether there is something to ask an issuer for now.
  bool HasWants(TimePoint now) const;

  // What to ask one issuer for. Ends with a call of Apply() or OnSilence().
  struct Question {
    std::string issuer;
    std::vector<PermitRequest> requests;
  };
  std::optional<Question> NextQuestion(TimePoint now);
  // Applies the reply to `question`. `daemons` is the number of daemons that
  // ask this issuer, at least 1.
  void Apply(const Question& question,
             const std::vector<PermitReply>& replies,
             int daemons,
             TimePoint now);
  // Records that the issuer did not reply.
  void OnSilence(const Question& question, TimePoint now);

  // Permits that are held, and requests sent so far, by server.
  std::map<std::string, double> Held() const;
  std::map<std::string, double> Used() const;
  // Whether no issuer has replied for so long that this daemon uses a part of
  // the limits on its own.
  bool is_alone(TimePoint now) const;

 private:
  struct Permit {
    TimePoint valid_from{};
    TimePoint expires_at{};
  };
  struct Server {
    std::deque<Permit> permits;  // By validity.
    int wanted = 0;
    int asked = 0;                              // In questions under way.
    std::map<std::string, TimePoint> retry_at;  // By issuer.
    std::int64_t used = 0;
    TimePoint last_used_alone = kDistantPast;
    double alone_factor = 1;  // Intervals from then to the next use.
  };

  static void DropExpired(Server& server, TimePoint now);
  bool MayAsk(const Server& server,
              const std::string& issuer,
              TimePoint now) const;
  bool CanAsk(const Server& server, TimePoint now) const;
  double DrawAloneFactor();
  Server& EntryOf(const std::string& server_id);
  // Whether an issuer did not reply lately, or there is none.
  bool IsSilenceRecent(TimePoint now) const;
  // When this daemon may use the server without a permit.
  TimePoint AloneAt(const std::string& server_id, const Server& server) const;
  void Forget(TimePoint now);

  const ServerLimitTable& limits_;
  std::mt19937_64 random_;
  std::vector<std::string> issuers_;
  std::map<std::string, Server> servers_;
  std::map<std::string, TimePoint> silent_until_;  // By issuer.
  TimePoint silent_at_ = kDistantPast;             // When one did not reply.
  std::map<std::string, bool> busy_;               // A question is under way.
  int daemons_ = 0;  // As last told by an issuer; 0: not yet.
  // When the questions that no issuer has replied to began.
  std::optional<TimePoint> unanswered_since_;
};

}  // namespace comfreyfold

#endif  // CORE_PERMIT_WALLET_H_
