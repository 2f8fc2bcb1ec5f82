#ifndef LIMIT_PROPERTY_LIMITED_FLEET_H_
#define LIMIT_PROPERTY_LIMITED_FLEET_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "core/permit_issuer.h"
#include "core/permit_wallet.h"
#include "core/server_limit_table.h"
#include "core/time_point.h"

namespace comfreyfold {

// Daemons and issuers that share the limit of one server, on a simulated clock.
// Messages between them take random times; faults are injected by the caller.
class LimitedFleet {
 public:
  LimitedFleet(int daemons, double per_second, std::uint64_t seed);

  // Lets `time` pass. In each step each daemon has a request for the server
  // with the probability `demand` gives it.
  void Run(std::chrono::milliseconds time, const std::vector<double>& demand);

  void RestartDaemon(int daemon);
  void RestartIssuer(int issuer);
  // Cuts a daemon off from an issuer, or reconnects them.
  void Cut(int daemon, int issuer, bool cut) { cut_[{daemon, issuer}] = cut; }
  // Lets a daemon know only the `count` issuers from `first` on.
  void SetIssuers(int daemon, int first, int count);

  // There is one more, which daemons know only by SetIssuers().
  static constexpr int kIssuers = kPermitIssuers;
  // The most requests that reached the server within any four seconds.
  int MostInWindow() const;
  int sent() const { return static_cast<int>(sent_.size()); }
  int sent_by(int daemon) const { return daemons_[daemon]->sent; }

 private:
  struct Daemon {
    ServerLimitTable limits;
    std::unique_ptr<PermitWallet> wallet;
    int waiting = 0;
    int sent = 0;
  };
  struct Message {
    int daemon = 0;
    std::weak_ptr<Daemon> sender;
    PermitWallet::Question question;
    std::vector<PermitReply> replies;
    bool answered = false;
    bool is_reply = false;
  };

  std::shared_ptr<Daemon> MakeDaemon();
  void Deliver();
  void Handle(Message message);
  void Step(int daemon, double demand);
  std::chrono::milliseconds Delay();
  bool Draw(double probability);

  double per_second_;
  std::mt19937_64 random_;
  TimePoint now_{std::chrono::seconds(1000)};
  std::vector<std::shared_ptr<Daemon>> daemons_;
  std::vector<std::unique_ptr<PermitIssuer>> issuers_;
  std::map<std::pair<int, int>, bool> cut_;
  std::multimap<TimePoint, Message> messages_;
  std::vector<TimePoint> sent_;
};

}  // namespace comfreyfold

#endif  // LIMIT_PROPERTY_LIMITED_FLEET_H_
