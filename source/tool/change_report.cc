#include "tool/change_report.h"

#include <algorithm>
#include <iostream>

#include <nlohmann/json.hpp>

#include "tool/confirmation.h"

namespace comfreyfold {

namespace {

using nlohmann::json;

// The result of a contract change, printed as text or JSON.
struct ChangeReport {
  const char* outcome = "";
  int exit_code = kExitOk;
  std::string text;
  std::int64_t revision = 0;
  std::string change;
  std::vector<ContractDifference> differences;
  std::vector<Confirmation> daemons;
};

// Prints `report` and returns its exit code.
int PrintReport(const CommandContext& context, const ChangeReport& report) {
  auto& out = report.exit_code == kExitOk ? std::cout : std::cerr;
  if (!context.json) {
    out << report.text << "\n";
    return report.exit_code;
  }
  json daemons = json::array();
  for (const auto& it : report.daemons) {
    daemons.push_back({{"daemon", it.daemon.daemon},
                       {"address", it.daemon.address},
                       {"answered", it.answered},
                       {"in_force", it.Confirms(report.revision)},
                       {"revision", it.revision},
                       {"after_ms", it.elapsed.count()}});
  }
  std::cout << json{{"outcome", report.outcome},
                    {"message", report.text},
                    {"revision", report.revision},
                    {"change", report.change},
                    {"differences", ToJson(report.differences)},
                    {"daemons", daemons}}
                   .dump()
            << "\n";
  return report.exit_code;
}

// Waits until the daemons have the revision of `report` in force, and adds the
// confirmations and the message to the report.
void AwaitConfirmations(CommandContext& context,
                        HttpClient& http,
                        ChangeReport& report) {
  report.daemons =
      AwaitRevision(context, http, FindDaemons(context, http), report.revision);
  std::string unconfirmed;
  std::chrono::milliseconds slowest{};
  for (const auto& it : report.daemons) {
    slowest = std::max(slowest, it.elapsed);
    if (!it.Confirms(report.revision)) {
      unconfirmed += (unconfirmed.empty() ? "" : ", ") + it.daemon.label() +
                     (it.answered ? " (older revision)" : " (no answer)");
    }
  }
  const auto revision = std::to_string(report.revision);
  if (unconfirmed.empty()) {
    report.text = "in force on " + std::to_string(report.daemons.size()) +
                  " daemons at revision " + revision + " after " +
                  std::to_string(slowest.count()) + " ms";
    return;
  }
  report.outcome = "not_confirmed";
  report.exit_code = kExitNotConfirmed;
  report.text = "written as revision " + revision + ", but not confirmed by " +
                unconfirmed +
                "; it takes effect on a daemon once that daemon receives it: "
                "check 'comfreyfold status'";
}

// Copies the result of a write to `report`. Returns false, with outcome, exit
// code and message set, if the change is not known to be applied.
bool RecordResult(const ChangeResult& result, ChangeReport& report) {
  report.change = result.id;
  report.revision = result.revision;
  switch (result.outcome) {
    case ChangeOutcome::kApplied:
      report.outcome = "applied";
      return true;
    case ChangeOutcome::kConflict:
      report.outcome = "conflict";
      report.exit_code = kExitConflict;
      report.text =
          "not applied: another operator changed the contracts in the "
          "meantime; review the change with 'comfreyfold diff' and run the "
          "command again";
      return false;
    case ChangeOutcome::kNotWritten:
      report.outcome = "not_written";
      report.exit_code = kExitFailed;
      report.text =
          "not applied: the key-value service could not be reached; check "
          "--kv and run the command again";
      return false;
    case ChangeOutcome::kUnknown:
      report.outcome = "unknown";
      report.exit_code = kExitUnknown;
      report.text = "the key-value service did not confirm whether change " +
                    result.id +
                    " was applied; once it answers again, 'comfreyfold "
                    "diff' shows what has not been applied";
      return false;
  }
  return false;
}

}  // namespace

std::vector<ContractDifference> DiffEdit(const StoredContracts& stored,
                                         const ContractEdit& edit) {
  std::vector<ContractDifference> out;
  const auto add = [&](const std::string& customer, const std::string& after) {
    const auto it = stored.texts.find(customer);
    const auto lines = DiffContracts(
        customer, it == stored.texts.end() ? std::string() : it->second, after);
    out.insert(out.end(), lines.begin(), lines.end());
  };
  for (const auto& [customer, text] : edit.puts) {
    add(customer, text);
  }
  for (const auto& it : edit.removals) {
    add(it, {});
  }
  for (const auto& [name, text] : edit.placements) {
    const auto it = stored.placements.find(name);
    const auto lines = DiffContracts(
        "placement " + name,
        it == stored.placements.end() ? std::string() : it->second, text);
    out.insert(out.end(), lines.begin(), lines.end());
  }
  return out;
}

int RunContractChange(CommandContext& context,
                      HttpClient& http,
                      KvClient& kv,
                      const StoredContracts& stored,
                      ContractEdit edit) {
  ChangeReport report;
  report.differences = DiffEdit(stored, edit);
  if (!context.json) {
    for (const auto& it : report.differences) {
      std::cout << ToLine(it) << "\n";
    }
  }
  if (context.dry_run) {
    report.outcome = "dry_run";
    report.text = "dry run: nothing was written";
    return PrintReport(context, report);
  }
  // A text identical to the stored one is not written again.
  std::erase_if(edit.puts, [&stored](const auto& it) {
    const auto old = stored.texts.find(it.first);
    return old != stored.texts.end() && old->second == it.second;
  });
  std::erase_if(edit.placements, [&stored](const auto& it) {
    const auto old = stored.placements.find(it.first);
    return old != stored.placements.end() && old->second == it.second;
  });
  if (edit.empty()) {
    report.outcome = "unchanged";
    report.revision = stored.revision;
  } else if (!RecordResult(WriteChange(context.fiber, kv, stored, edit),
                           report)) {
    return PrintReport(context, report);
  }
  AwaitConfirmations(context, http, report);
  return PrintReport(context, report);
}

std::vector<HelpLine> ChangeExitCodes() {
  return {{"3",
           "another operator changed the contracts in the meantime; nothing "
           "was written"},
          {"4", "unknown whether the change was written"},
          {"5", "written, but not confirmed by every daemon within --wait"}};
}

}  // namespace comfreyfold
