#ifndef PLATFORM_CONTRACT_KEYS_H_
#define PLATFORM_CONTRACT_KEYS_H_

#include <string>

namespace comfreyfold {

// Where contracts live in the key-value service. Every change writes
// kContractChangeKey in the same transaction: its modification revision is
// the revision of the contracts as a whole.
inline constexpr char kContractPrefix[] = "contracts/";
inline constexpr char kContractChangeKey[] = "contracts/change";
inline constexpr char kContractCustomerPrefix[] = "contracts/customer/";

}  // namespace comfreyfold

#endif  // PLATFORM_CONTRACT_KEYS_H_
