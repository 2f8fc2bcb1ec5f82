#include "core/contract.h"

#include <algorithm>
#include <cctype>

#include "core/ini_reader.h"

namespace comfreyfold {

namespace {

constexpr std::int64_t kMaxTokens = 1'000'000'000'000;
constexpr int kMaxWeight = 1000;
constexpr int kMaxPriority = 100;
constexpr int kMaxConcurrency = 100000;
constexpr int kMaxTurns = 100000;
constexpr int kMaxSubagents = 10000;
constexpr int kMaxAttempts = 10;
constexpr std::size_t kSha256HexLength = 64;
constexpr std::size_t kMaxNameLength = 128;

std::string JoinFaults(const std::vector<IniFault>& faults) {
  std::string out;
  for (const auto& it : faults) {
    out += (out.empty() ? "" : "\n") + it.file + ":" + std::to_string(it.line) +
           ": " + it.message;
  }
  return out;
}

bool IsName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
         });
}

bool IsSha256(const std::string& text) {
  return text.size() == kSha256HexLength &&
         text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

void ReadToolRule(IniReader& reader,
                  const std::string& section,
                  ToolRule& rule) {
  using std::chrono::milliseconds;
  reader.Read(section, "idempotent", rule.idempotent);
  reader.Read(section, "attempts", rule.attempts, 1, kMaxAttempts);
  reader.Read(section, "urgent", rule.urgent);
  reader.Read(section, "timeout", rule.timeout, milliseconds(10),
              std::chrono::hours(1));
  if (rule.attempts > 1 && !rule.idempotent) {
    reader.AddFault(section, "attempts",
                    "a call that is not idempotent is dispatched only once; "
                    "write idempotent = true or attempts = 1");
  }
  if (rule.urgent && !rule.idempotent) {
    reader.AddFault(
        section, "urgent",
        "an urgent call is dispatched before the journal commits it "
        "and may be repeated; write idempotent = true or urgent = "
        "false");
  }
}

}  // namespace

IniError::IniError(std::vector<IniFault> faults)
    : std::runtime_error(JoinFaults(faults)), faults_(std::move(faults)) {}

ToolRule Contract::RuleFor(const std::string& name) const {
  const auto it = tools.find(name);
  return it == tools.end() ? ToolRule{} : it->second;
}

Contract ParseContract(const std::string& text, const std::string& file) {
  Contract out;
  IniReader reader(text, file);
  reader.Require("customer", "name");
  reader.Read("customer", "name", out.customer);
  if (reader.Has("customer", "name") && !IsName(out.customer)) {
    reader.AddFault("customer", "name",
                    "write 1 to 128 letters, digits, '-', '_' or '.'");
  }
  reader.Require("customer", "api_key_sha256");
  reader.Read("customer", "api_key_sha256", out.api_key_sha256);
  if (reader.Has("customer", "api_key_sha256") &&
      !IsSha256(out.api_key_sha256)) {
    reader.AddFault("customer", "api_key_sha256",
                    "write the SHA-256 of the API key as 64 lower-case hex "
                    "digits");
  }

  reader.Require("budget", "tokens");
  reader.Read("budget", "tokens", out.budget_tokens, 0, kMaxTokens);
  reader.Read("budget", "period", out.budget_period, std::chrono::seconds(1),
              std::chrono::hours(24 * 366));

  reader.Read("share", "weight", out.weight, 1, kMaxWeight);
  reader.Read("share", "priority", out.priority, 0, kMaxPriority);
  reader.Read("share", "concurrency", out.concurrency, 1, kMaxConcurrency);

  reader.Read("program", "turns", out.max_turns, 1, kMaxTurns);
  reader.Read("program", "call_tokens", out.max_call_tokens, 1, kMaxTokens);
  reader.Read("program", "tokens", out.max_program_tokens, 1, kMaxTokens);
  reader.Read("program", "subagents", out.max_subagents, 0, kMaxSubagents);
  reader.Read("program", "time", out.max_program_time, std::chrono::seconds(1),
              std::chrono::hours(24 * 366));
  reader.Read("program", "idle", out.max_program_idle, std::chrono::seconds(1),
              std::chrono::hours(24 * 366));
  reader.Read("program", "models", out.models);

  for (const auto& section : reader.SectionsWithPrefix("tool")) {
    ReadToolRule(reader, section, out.tools[section.substr(5)]);
  }
  reader.Finish();
  return out;
}

}  // namespace comfreyfold
