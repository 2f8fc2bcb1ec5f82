#ifndef CLIENTS_CONTRACT_KEYS_H_
#define CLIENTS_CONTRACT_KEYS_H_

namespace comfreyfold {

// Keys of the contracts in the key-value service. Every change of a contract
// also writes kContractChangeKey in the same transaction, so the modification
// revision of that key is the revision of the contract set as a whole.
inline constexpr char kContractPrefix[] = "contracts/";
inline constexpr char kContractChangeKey[] = "contracts/change";
inline constexpr char kContractCustomerPrefix[] = "contracts/customer/";

// Keys of the placements, which say what the engines are to load. They are
// changed in the same way as contracts.
inline constexpr char kPlacementPrefix[] = "contracts/placement/";

// Every change also writes a key of its own under this prefix, with a lease.
// If the reply to the change is lost, that key tells the operator that the
// change was applied, even when later changes have followed. The prefix lies
// outside kContractPrefix so that the expiry of the lease triggers no watch.
inline constexpr char kContractChangePrefix[] = "contract-changes/";

}  // namespace comfreyfold

#endif  // CLIENTS_CONTRACT_KEYS_H_
