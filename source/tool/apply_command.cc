#include "tool/apply_command.h"

#include <fstream>
#include <iostream>
#include <sstream>

#include <nlohmann/json.hpp>

#include "core/contract.h"
#include "net/http_client.h"
#include "platform/base64.h"
#include "platform/contract_keys.h"
#include "platform/kv_client.h"

namespace comfreyfold {

namespace {

constexpr std::chrono::seconds kKvTimeout{2};
constexpr std::chrono::seconds kConfirmTimeout{18};
constexpr std::chrono::milliseconds kConfirmStep{50};

struct ContractFile {
  std::string text;
  Contract contract;
};

std::string ReadFile(const std::string& name) {
  std::ifstream in(name);
  if (!in) {
    throw std::runtime_error(name + ": cannot be read; check its name");
  }
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

// The lowest revision in force over all daemons; -1 while one is silent.
std::int64_t LowestRevision(CommandContext& context, HttpClient& http) {
  std::int64_t lowest = INT64_MAX;
  for (const auto& it : context.daemons) {
    try {
      const auto reply =
          http.Send(context.fiber, it, {"GET", "/operator/status"});
      const auto status = nlohmann::json::parse(reply.body);
      lowest =
          std::min(lowest, status.at("contracts_revision").get<std::int64_t>());
    } catch (const std::runtime_error&) {
      return -1;
    }
  }
  return lowest;
}

int WaitUntilInForce(CommandContext& context,
                     HttpClient& http,
                     std::int64_t revision) {
  const auto until = std::chrono::steady_clock::now() + kConfirmTimeout;
  while (LowestRevision(context, http) < revision) {
    if (std::chrono::steady_clock::now() > until) {
      std::cerr << "written as revision " << revision
                << ", but not confirmed by every daemon; see "
                   "'comfreyfold status'\n";
      return kExitUnknown;
    }
    context.fiber.Sleep(kConfirmStep);
  }
  std::cout << "in force on " << context.daemons.size()
            << " daemons at revision " << revision << "\n";
  return kExitOk;
}

int Apply(CommandContext& context) {
  std::vector<ContractFile> files;
  for (const auto& it : context.arguments) {
    auto text = ReadFile(it);
    auto contract = ParseContract(text, it);
    files.push_back({std::move(text), std::move(contract)});
  }
  if (files.empty()) {
    std::cerr << "apply: name one or more contract files\n";
    return kExitUsage;
  }
  HttpClient http(context.fiber.loop());
  KvClient kv(http, context.key_value, kKvTimeout);
  const auto before = kv.Get(context.fiber, kContractChangeKey);
  const auto change = RandomId();
  KvTxn txn;
  txn.compares.push_back(KvCompare::Unchanged(
      kContractChangeKey, before ? before->mod_revision : 0));
  txn.puts.push_back({kContractChangeKey, change});
  for (const auto& it : files) {
    txn.puts.push_back(
        {kContractCustomerPrefix + it.contract.customer, it.text});
  }
  try {
    kv.Commit(context.fiber, txn);
  } catch (const KvUnavailable&) {
    // Settled by the read below.
  }
  const auto after = kv.Get(context.fiber, kContractChangeKey);
  if (!after || after->value != change) {
    std::cerr << "another operator's change came first; look at it with "
                 "'comfreyfold diff' and apply again\n";
    return kExitConflict;
  }
  return WaitUntilInForce(context, http, after->mod_revision);
}

}  // namespace

Command ApplyCommand() {
  return {"apply", "apply FILE...",
          "Checks contracts, writes them as one change, and waits until "
          "every daemon has them in force.",
          "comfreyfold --kv 10.0.0.5:2379 --daemons 10.0.0.7:8080 apply "
          "contracts/*.ini",
          Apply};
}

}  // namespace comfreyfold
