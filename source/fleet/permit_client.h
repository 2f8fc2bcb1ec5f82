#ifndef FLEET_PERMIT_CLIENT_H_
#define FLEET_PERMIT_CLIENT_H_

#include <functional>
#include <string>

#include "core/permit_wallet.h"
#include "fleet/fleet_view.h"
#include "net/http_client.h"

namespace comfreyfold {

// Asks the issuers for the permits that the requests of this daemon need.
class PermitClient {
 public:
  // `address` is the one at which other daemons reach this one.
  PermitClient(Loop& loop,
               HttpClient& http,
               FleetView& view,
               PermitWallet& wallet,
               std::string address,
               std::string data_centre);

  // Sets a function that is called when the wallet has changed.
  void OnChange(std::function<void()> hook) { on_change_ = std::move(hook); }
  // Sets a function that is called when an issuer told of limits of servers
  // that differ from what this daemon knew.
  void OnLimits(std::function<void()> hook) { on_limits_ = std::move(hook); }

  // Looks for permits that are wanted, and asks for them without waiting.
  void Ask();

 private:
  // The issuers of the present list, those of this data centre first.
  std::vector<std::string> Issuers() const;
  void AskOne(Fiber& fiber, const PermitWallet::Question& question);

  Loop& loop_;
  HttpClient& http_;
  FleetView& view_;
  PermitWallet& wallet_;
  std::string address_;
  std::string data_centre_;
  std::function<void()> on_change_;
  std::function<void()> on_limits_;
};

}  // namespace comfreyfold

#endif  // FLEET_PERMIT_CLIENT_H_
