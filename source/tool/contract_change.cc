#include "tool/contract_change.h"

#include <stdexcept>
#include <utility>

#include "clients/base64.h"
#include "clients/contract_keys.h"
#include "core/placement.h"
#include "tool/tool_settings.h"

namespace comfreyfold {

namespace {

// The record of a change has to outlive the retries of WriteChange.
constexpr std::chrono::hours kChangeRecordLease{1};
constexpr std::chrono::seconds kWriteTimeout{15};
constexpr std::chrono::milliseconds kRetryInterval{200};

// Checks that no two customers have the same API key.
class ApiKeyOwners {
 public:
  // Throws std::runtime_error if another customer already has the API key of
  // `contract`.
  void Add(const Contract& contract, const std::string& file) {
    const auto [it, inserted] =
        owners_.emplace(contract.api_key_sha256, contract.customer);
    if (!inserted && it->second != contract.customer) {
      throw std::runtime_error(
          file + ": [customer] api_key_sha256 = '" + contract.api_key_sha256 +
          "': customer '" + it->second +
          "' has the same API key; give each customer a different key");
    }
  }

 private:
  std::map<std::string, std::string> owners_;
};

KvTxn BuildTransaction(const StoredContracts& base,
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
  const auto record_key = kContractChangePrefix + out.id;
  const auto deadline = std::chrono::steady_clock::now() + kWriteTimeout;
  std::int64_t lease = 0;
  while (std::chrono::steady_clock::now() < deadline) {
    try {
      if (lease == 0) {
        lease = kv.GrantLease(fiber, kChangeRecordLease);
      }
      // The transaction can safely be sent again, since it applies on top of
      // `base` at most once. If it no longer applies, the change's own record
      // shows whether an earlier attempt did, even if another operator has
      // changed the contracts since.
      const auto result =
          kv.Commit(fiber, BuildTransaction(base, edit, out.id, lease));
      if (result.succeeded) {
        out.outcome = ChangeOutcome::kApplied;
        out.revision = result.revision;
        return out;
      }
      const auto own_record = kv.Get(fiber, record_key);
      out.outcome =
          own_record ? ChangeOutcome::kApplied : ChangeOutcome::kConflict;
      out.revision = own_record ? own_record->mod_revision : 0;
      return out;
    } catch (const KvUnavailable& e) {
      if (lease != 0 && e.may_have_applied()) {
        out.outcome = ChangeOutcome::kUnknown;
      }
    }
    fiber.Sleep(kRetryInterval);
  }
  return out;
}

bool IsPlacement(const std::string& text) {
  return text.find("[placement]") != std::string::npos;
}

ContractEdit ReadContractFiles(const std::vector<std::string>& files,
                               const StoredContracts& stored) {
  ContractEdit out;
  ApiKeyOwners owners;
  std::map<std::string, std::string> file_by_customer;
  for (const auto& file : files) {
    auto text = ReadTextFile(file);
    if (IsPlacement(text)) {
      const auto name = PlacementName(ParsePlacement(text, file));
      out.placements[name] = std::move(text);
      continue;
    }
    const auto contract = ParseContract(text, file);
    const auto [it, inserted] =
        file_by_customer.emplace(contract.customer, file);
    if (!inserted) {
      throw std::runtime_error(file + ": customer '" + contract.customer +
                               "' is also in " + it->second +
                               "; give one file for each customer");
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
      // The stored contract may be from a newer version of the tool; its API
      // key cannot be compared.
    }
  }
  return out;
}

}  // namespace comfreyfold
