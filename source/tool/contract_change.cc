#include "tool/contract_change.h"

#include <stdexcept>
#include <utility>

#include "clients/base64.h"
#include "clients/contract_keys.h"
#include "core/placement.h"
#include "tool/tool_settings.h"

namespace comfreyfold {

namespace {

constexpr std::chrono::hours kChangeLease{1};
constexpr std::chrono::seconds kSettleTime{15};
constexpr std::chrono::milliseconds kSettleStep{200};

// Notes an API key's owner; a second owner is a fault.
class KeyOwners {
 public:
  void Add(const Contract& contract, const std::string& file) {
    const auto [it, added] =
        owners_.emplace(contract.api_key_sha256, contract.customer);
    if (!added && it->second != contract.customer) {
      throw std::runtime_error(
          file + ": [customer] api_key_sha256 = '" + contract.api_key_sha256 +
          "': customer '" + it->second +
          "' has the same API key; give each customer its own");
    }
  }

 private:
  std::map<std::string, std::string> owners_;
};

KvTxn MakeTxn(const StoredContracts& base,
              const ContractEdit& edit,
              const std::string& id,
              std::int64_t lease) {
  KvTxn out;
  out.compares.push_back(
      KvCompare::Unchanged(kContractChangeKey, base.revision));
  out.puts.push_back({kContractChangeKey, id});
  out.puts.push_back({kContractChangePrefix + id, "applied", lease});
  for (const auto& [customer, text] : edit.puts) {
    out.puts.push_back({kContractCustomerPrefix + customer, text});
  }
  for (const auto& [name, text] : edit.placements) {
    out.puts.push_back({kPlacementPrefix + name, text});
  }
  for (const auto& it : edit.removals) {
    out.deletes.emplace_back(kContractCustomerPrefix + it, "");
  }
  return out;
}

}  // namespace

StoredContracts ReadContracts(Fiber& fiber, KvClient& kv) {
  constexpr std::size_t kPrefixLength = sizeof(kContractCustomerPrefix) - 1;
  StoredContracts out;
  for (const auto& it : kv.Prefix(fiber, kContractPrefix).items) {
    if (it.key == kContractChangeKey) {
      out.revision = it.mod_revision;
    } else if (it.key.rfind(kContractCustomerPrefix, 0) == 0) {
      out.texts[it.key.substr(kPrefixLength)] = it.value;
    } else if (it.key.rfind(kPlacementPrefix, 0) == 0) {
      out.placements[it.key.substr(sizeof(kPlacementPrefix) - 1)] = it.value;
    }
  }
  return out;
}

ChangeResult WriteChange(Fiber& fiber,
                         KvClient& kv,
                         const StoredContracts& base,
                         const ContractEdit& edit) {
  ChangeResult out;
  out.id = RandomId();
  out.outcome = ChangeOutcome::kNotWritten;
  const auto record = kContractChangePrefix + out.id;
  const auto until = std::chrono::steady_clock::now() + kSettleTime;
  std::int64_t lease = 0;
  while (std::chrono::steady_clock::now() < until) {
    try {
      if (lease == 0) {
        lease = kv.GrantLease(fiber, kChangeLease);
      }
      // The same transaction may be sent again: it applies on top of `base`
      // once or never. Its own record tells which, even when another
      // operator's change has followed it already.
      const auto result = kv.Commit(fiber, MakeTxn(base, edit, out.id, lease));
      if (result.succeeded) {
        out.outcome = ChangeOutcome::kApplied;
        out.revision = result.revision;
        return out;
      }
      const auto mine = kv.Get(fiber, record);
      out.outcome = mine ? ChangeOutcome::kApplied : ChangeOutcome::kConflict;
      out.revision = mine ? mine->mod_revision : 0;
      return out;
    } catch (const KvUnavailable& e) {
      if (lease != 0 && e.may_have_applied()) {
        out.outcome = ChangeOutcome::kUnknown;
      }
    }
    fiber.Sleep(kSettleStep);
  }
  return out;
}

bool IsPlacement(const std::string& text) {
  return text.find("[placement]") != std::string::npos;
}

ContractEdit ReadContractFiles(const std::vector<std::string>& files,
                               const StoredContracts& stored) {
  ContractEdit out;
  KeyOwners owners;
  std::map<std::string, std::string> file_of;
  for (const auto& file : files) {
    auto text = ReadTextFile(file);
    if (IsPlacement(text)) {
      const auto name = PlacementName(ParsePlacement(text, file));
      out.placements[name] = std::move(text);
      continue;
    }
    const auto contract = ParseContract(text, file);
    const auto [it, added] = file_of.emplace(contract.customer, file);
    if (!added) {
      throw std::runtime_error(file + ": customer '" + contract.customer +
                               "' is in " + it->second +
                               " too; name one file a customer");
    }
    owners.Add(contract, file);
    out.puts[contract.customer] = std::move(text);
  }
  for (const auto& [customer, text] : stored.texts) {
    if (out.puts.contains(customer)) {
      continue;
    }
    try {
      owners.Add(ParseContract(text, customer), files.front());
    } catch (const IniError&) {
      // A newer tool wrote it; its key cannot be compared here.
    }
  }
  return out;
}

}  // namespace comfreyfold
