#ifndef CLIENTS_CONTRACT_KEYS_H_
#define CLIENTS_CONTRACT_KEYS_H_

namespace comfreyfold {

// Where contracts live in the key-value service. Every change writes
// kContractChangeKey in the same transaction: its modification revision is
// the revision of the contracts as a whole.
inline constexpr char kContractPrefix[] = "contracts/";
inline constexpr char kContractChangeKey[] = "contracts/change";
inline constexpr char kContractCustomerPrefix[] = "contracts/customer/";

// What is to be placed on the engines, applied like contracts.
inline constexpr char kPlacementPrefix[] = "contracts/placement/";

// A leased key a change, written with it: tells its operator that it was
// applied though the answer was lost and other changes followed. Outside
// kContractPrefix, so that its end wakes no watch.
inline constexpr char kContractChangePrefix[] = "contract-changes/";

}  // namespace comfreyfold

#endif  // CLIENTS_CONTRACT_KEYS_H_
