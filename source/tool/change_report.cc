#include "tool/change_report.h"

#include <algorithm>
#include <iostream>

#include <nlohmann/json.hpp>

#include "tool/confirmation.h"

namespace comfreyfold {

namespace {

using nlohmann::json;

// Everything a change ends with, printed once as text or JSON.
struct ChangeReport {
  const char* outcome = "";
  int exit_code = kExitOk;
  std::string text;
  std::int64_t revision = 0;
  std::string change;
  std::vector<ContractDifference> differences;
  std::vector<Confirmation> daemons;
};

int Print(const CommandContext& context, const ChangeReport& report) {
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
                       {"after_ms", it.after.count()}});
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

void Confirm(CommandContext& context, HttpClient& http, ChangeReport& report) {
  report.daemons =
      AwaitInForce(context, http, FindDaemons(context, http), report.revision);
  std::string missing;
  std::chrono::milliseconds slowest{};
  for (const auto& it : report.daemons) {
    slowest = std::max(slowest, it.after);
    if (!it.Confirms(report.revision)) {
      missing += (missing.empty() ? "" : ", ") + it.daemon.label() +
                 (it.answered ? " (older revision)" : " (no answer)");
    }
  }
  const auto revision = std::to_string(report.revision);
  if (missing.empty()) {
    report.text = "in force on " + std::to_string(report.daemons.size()) +
                  " daemons at revision " + revision + " after " +
                  std::to_string(slowest.count()) + " ms";
    return;
  }
  report.outcome = "not_confirmed";
  report.exit_code = kExitNotConfirmed;
  report.text = "written as revision " + revision + ", but not confirmed by " +
                missing +
                "; it takes effect there at the next contact: look at "
                "'comfreyfold status'";
}

// False when the change did not take effect, with the report filled in.
bool TakeOutcome(const ChangeResult& result, ChangeReport& report) {
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
          "not applied: another operator's change came first; look at it "
          "with 'comfreyfold diff' and run the command again";
      return false;
    case ChangeOutcome::kNotWritten:
      report.outcome = "not_written";
      report.exit_code = kExitFailed;
      report.text =
          "not applied: the key-value service cannot be reached; check --kv "
          "and run the command again";
      return false;
    case ChangeOutcome::kUnknown:
      report.outcome = "unknown";
      report.exit_code = kExitUnknown;
      report.text = "the key-value service did not say whether change " +
                    result.id +
                    " was applied; when it answers again, 'comfreyfold "
                    "diff' shows what is missing";
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

int RunChange(CommandContext& context,
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
    return Print(context, report);
  }
  // What is stored word for word needs no write.
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
  } else if (!TakeOutcome(WriteChange(context.fiber, kv, stored, edit),
                          report)) {
    return Print(context, report);
  }
  Confirm(context, http, report);
  return Print(context, report);
}

std::vector<HelpLine> ChangeExitCodes() {
  return {{"3", "another operator's change came first; nothing was written"},
          {"4", "not known whether it was written"},
          {"5", "written, but not confirmed by every daemon in time"}};
}

}  // namespace comfreyfold
