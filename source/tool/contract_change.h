#ifndef TOOL_CONTRACT_CHANGE_H_
#define TOOL_CONTRACT_CHANGE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "clients/kv_client.h"
#include "core/contract.h"

namespace comfreyfold {

// A snapshot of the contracts and placements in the key-value service.
struct StoredContracts {
  std::int64_t revision = 0;                 // Of the latest change; 0 if none.
  std::map<std::string, std::string> texts;  // By customer.
  std::map<std::string, std::string> placements;  // By PlacementName.
};

// The writes of one change: contracts and placements to store, and customers
// whose contracts are deleted.
struct ContractEdit {
  std::map<std::string, std::string> puts;  // By customer.
  std::vector<std::string> removals;
  std::map<std::string, std::string> placements;  // By PlacementName.

  bool empty() const {
    return puts.empty() && removals.empty() && placements.empty();
  }
};

// The outcome of a change.
enum class ChangeOutcome {
  kApplied,
  kConflict,    // Rejected: another change was written first.
  kNotWritten,  // No transaction reached the service.
  kUnknown,     // The write may have been applied; no reply.
};

struct ChangeResult {
  ChangeOutcome outcome = ChangeOutcome::kUnknown;
  std::int64_t revision = 0;  // Of the change; 0 unless it was applied.
  std::string id;
};

StoredContracts ReadContracts(Fiber& fiber, KvClient& kv);

// Writes `edit` in one transaction, which applies only if the stored contracts
// still have the revision of `base`.
ChangeResult WriteChange(Fiber& fiber,
                         KvClient& kv,
                         const StoredContracts& base,
                         const ContractEdit& edit);

// Returns whether a file with this text holds a placement, not a contract.
bool IsPlacement(const std::string& text);

// Reads and validates contract and placement files. Rejects an API key that two
// customers share, whether both are in `files` or one is in `stored`. Throws
// IniError or std::runtime_error.
ContractEdit ReadContractFiles(const std::vector<std::string>& files,
                               const StoredContracts& stored);

}  // namespace comfreyfold

#endif  // TOOL_CONTRACT_CHANGE_H_
