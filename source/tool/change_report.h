#ifndef TOOL_CHANGE_REPORT_H_
#define TOOL_CHANGE_REPORT_H_

#include "net/http_client.h"
#include "tool/command.h"
#include "tool/contract_change.h"
#include "tool/contract_diff.h"

namespace comfreyfold {

// Shows `edit` against `stored`, writes it unless the command is a dry run,
// waits for the daemons and reports. Returns the exit code.
int RunChange(CommandContext& context,
              HttpClient& http,
              KvClient& kv,
              const StoredContracts& stored,
              ContractEdit edit);

// What `edit` changes against `stored`.
std::vector<ContractDifference> DiffEdit(const StoredContracts& stored,
                                         const ContractEdit& edit);

// Exit codes of the commands that change contracts, for their pages.
std::vector<HelpLine> ChangeExitCodes();

}  // namespace comfreyfold

#endif  // TOOL_CHANGE_REPORT_H_
