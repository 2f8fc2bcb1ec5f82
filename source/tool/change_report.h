#ifndef TOOL_CHANGE_REPORT_H_
#define TOOL_CHANGE_REPORT_H_

#include "net/http_client.h"
#include "tool/command.h"
#include "tool/contract_change.h"
#include "tool/contract_diff.h"

namespace comfreyfold {

// Prints the differences between `stored` and `edit`, writes the edit unless
// the command is a dry run, waits until the daemons have it in force, and
// prints the result. Returns the exit code.
int RunContractChange(CommandContext& context,
                      HttpClient& http,
                      KvClient& kv,
                      const StoredContracts& stored,
                      ContractEdit edit);

// Returns the keys that `edit` changes in `stored`.
std::vector<ContractDifference> DiffEdit(const StoredContracts& stored,
                                         const ContractEdit& edit);

// Returns the exit codes specific to the commands that change contracts, for
// their help pages.
std::vector<HelpLine> ChangeExitCodes();

}  // namespace comfreyfold

#endif  // TOOL_CHANGE_REPORT_H_
