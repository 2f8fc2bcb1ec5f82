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

// The contracts in the key-value service as they were read.
struct StoredContracts {
  std::int64_t revision = 0;  // Of the newest change; 0: none yet.
  std::map<std::string, std::string> texts;       // By customer.
  std::map<std::string, std::string> placements;  // By PlacementName.
};

// What a change writes: contracts put, and customers removed.
struct ContractEdit {
  std::map<std::string, std::string> puts;  // By customer.
  std::vector<std::string> removals;
  std::map<std::string, std::string> placements;  // By PlacementName.

  bool empty() const {
    return puts.empty() && removals.empty() && placements.empty();
  }
};

// How a change ended. Each has exactly one outcome.
enum class ChangeOutcome {
  kApplied,
  kConflict,    // Another change came first; this one never applies.
  kNotWritten,  // The service was never reached.
  kUnknown,     // The service stayed silent; it may have been written.
};

struct ChangeResult {
  ChangeOutcome outcome = ChangeOutcome::kUnknown;
  std::int64_t revision = 0;  // Of the change, when it was applied.
  std::string id;
};

StoredContracts ReadContracts(Fiber& fiber, KvClient& kv);

// Writes `edit` as one change on top of `base`.
ChangeResult WriteChange(Fiber& fiber,
                         KvClient& kv,
                         const StoredContracts& base,
                         const ContractEdit& edit);

// Whether the text of a file is that of a placement.
bool IsPlacement(const std::string& text);

// Reads and checks contract and placement files, also against `stored`: no two
// customers may have one API key. Throws IniError or std::runtime_error.
ContractEdit ReadContractFiles(const std::vector<std::string>& files,
                               const StoredContracts& stored);

}  // namespace comfreyfold

#endif  // TOOL_CONTRACT_CHANGE_H_
