#include "harness/cluster.h"

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include "clients/base64.h"
#include "core/hash.h"
#include "harness/test_folder.h"

namespace comfreyfold::harness {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kPollInterval{20};
const char* const kDataCentres[] = {"dc-a", "dc-b", "dc-c"};

std::string BinaryPath(const std::string& name) {
  return std::filesystem::read_symlink("/proc/self/exe")
             .parent_path()
             .string() +
         "/" + name;
}

std::unique_ptr<Process> StartStandIn(
    const std::string& kind,
    const std::vector<std::string>& extra_arguments = {}) {
  std::vector<std::string> arguments{BinaryPath("comfreyfold_standin"),
                                     "--kind", kind};
  arguments.insert(arguments.end(), extra_arguments.begin(),
                   extra_arguments.end());
  return std::make_unique<Process>(arguments, true);
}

std::string BlockKey(int lane, std::int64_t number) {
  char buf[64];
  std::snprintf(buf, sizeof(buf), "lane/%04d/block/%012lld", lane,
                static_cast<long long>(number));
  return buf;
}

}  // namespace

Cluster::Cluster(Fiber& fiber, ClusterOptions options)
    : fiber_(fiber),
      options_(std::move(options)),
      http_(fiber.loop()),
      folder_(MakeTestFolder()) {
  kv_ = StartStandIn("kv");
  vms_ = StartStandIn("vms");
  if (options_.weight_store) {
    weights_ = StartStandIn("weights");
  }
  if (!options_.engines_check_fencing) {
    options_.engine_arguments.emplace_back("--ignore-fencing");
  }
  for (int i = 0; i < options_.engines; ++i) {
    engines_.push_back(StartStandIn("engine", options_.engine_arguments));
  }
  for (int i = 0; i < options_.tool_servers; ++i) {
    tool_servers_.push_back(StartStandIn("tools", options_.tool_arguments));
  }
  PublishVms();
  daemons_.resize(static_cast<std::size_t>(options_.daemons));
  for (int i = 0; i < options_.daemons; ++i) {
    StartDaemon(i);
  }
}

Cluster::~Cluster() {
  daemons_.clear();
  if (KeepsTestFolders()) {
    return;
  }
  std::error_code ec;
  std::filesystem::remove_all(folder_, ec);
}

std::string Cluster::WriteFile(const std::string& name,
                               const std::string& text) {
  const auto path = folder_ + "/" + name;
  std::ofstream(path) << text;
  return path;
}

void Cluster::SetSettings(const std::string& section,
                          const std::string& lines) {
  replaced_sections_[section] = lines;
}

std::string Cluster::DataFolder(int index) const {
  return folder_ + "/d" + std::to_string(index) + ".data";
}

void Cluster::EmptyDataFolder(int index) {
  std::filesystem::remove_all(DataFolder(index));
}

void Cluster::StartDaemon(int index) {
  const auto id = "d" + std::to_string(index);
  // A restarted daemon keeps its address, as one on a VM does.
  auto& process = daemons_[static_cast<std::size_t>(index)];
  const auto listen = process ? process->address() : "127.0.0.1:0";
  std::map<std::string, std::string> sections{
      {"daemon", "id = " + id + "\ndata_centre = " + kDataCentres[index % 3] +
                     "\nlisten = " + listen + "\nlog_file = " + folder_ + "/" +
                     id + ".log\n"},
      {"platform",
       "key_value = " + kv_->address() + "\nvm_list = " + vms_->address() +
           "\n" +
           (weights_ ? "weight_store = " + weights_->address() + "\n" : "")},
      {"lanes", "count = " + std::to_string(kLanes) + "\n"}};
  if (options_.data_folders.contains(index)) {
    std::filesystem::create_directories(DataFolder(index));
    sections["daemon"] += "data_folder = " + DataFolder(index) + "\n";
  }
  for (const auto& [section, lines] : options_.settings) {
    sections[section] += lines;
  }
  for (const auto& [section, lines] : replaced_sections_) {
    sections[section] = lines;
  }
  std::string text;
  for (const auto& [section, lines] : sections) {
    text += "[" + section + "]\n" + lines;
  }
  const auto file = WriteFile(id + ".ini", text);
  process.reset();
  process = std::make_unique<Process>(
      std::vector<std::string>{BinaryPath("comfreyfoldd"), "--config", file},
      true, folder_ + "/" + id + ".err");
}

void Cluster::PublishVms(const std::vector<std::string>& leaving) {
  json list = json::array();
  const auto add = [&](const char* role, std::size_t index,
                       const std::string& address,
                       const std::vector<std::string>& serves) {
    const auto id = std::string(role) + "-" + std::to_string(index);
    const bool is_leaving =
        std::find(leaving.begin(), leaving.end(), id) != leaving.end();
    list.push_back({{"id", id},
                    {"role", role},
                    {"address", address},
                    {"data_centre", kDataCentres[index % 3]},
                    {"state", is_leaving ? "leaving" : "live"},
                    {"checks_fencing", options_.engines_check_fencing},
                    {"serves", serves}});
  };
  for (std::size_t i = 0; i < engines_.size(); ++i) {
    add("engine", i, engines_[i]->address(), options_.models);
  }
  for (std::size_t i = 0; i < tool_servers_.size(); ++i) {
    add("service", i, tool_servers_[i]->address(), options_.tools);
  }
  http_.Send(fiber_, vms_->address(), {"PUT", "/vms", {}, list.dump()});
}

json Cluster::Status(int index) {
  try {
    const auto reply = http_.Send(fiber_, daemon(index).address(),
                                  {"GET", "/operator/status"});
    return json::parse(reply.body);
  } catch (const HttpFailure&) {
    return nullptr;
  }
}

void Cluster::WaitFor(const char* what,
                      const std::function<bool()>& ready,
                      std::chrono::milliseconds timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (!ready()) {
    if (std::chrono::steady_clock::now() > deadline) {
      throw std::runtime_error(std::string("timed out waiting for ") + what);
    }
    fiber_.Sleep(kPollInterval);
  }
}

void Cluster::WaitReady(std::chrono::milliseconds timeout) {
  WaitFor(
      "every lane to have an owner and every daemon to see the others",
      [this] {
        std::size_t lanes = 0;
        for (int i = 0; i < daemons(); ++i) {
          const auto status = Status(i);
          if (!status.is_object()) {
            continue;
          }
          // A daemon reports itself ready only once it has contracts. This
          // also runs before the first apply, so it checks lanes, backend
          // servers and peers instead.
          lanes += status["lanes"].size();
          if (status["backends"].empty() ||
              status["peers"].size() + 1 < daemons_.size()) {
            return false;
          }
        }
        // The sum is larger while a daemon has not yet noticed that another
        // one took over a lane from it.
        return lanes == kLanes;
      },
      timeout);
}

std::unique_ptr<Process> Cluster::RunOperatorTool(
    const std::vector<std::string>& arguments) {
  std::string daemons;
  for (const auto& it : daemons_) {
    daemons += (daemons.empty() ? "" : ",") + it->address();
  }
  std::vector<std::string> all_arguments{"--kv", kv_->address(), "--daemons",
                                         daemons};
  all_arguments.insert(all_arguments.end(), arguments.begin(), arguments.end());
  return RunOperatorToolWithoutAddresses(all_arguments);
}

std::unique_ptr<Process> Cluster::RunOperatorToolWithoutAddresses(
    const std::vector<std::string>& arguments) {
  std::vector<std::string> all_arguments{BinaryPath("comfreyfold")};
  all_arguments.insert(all_arguments.end(), arguments.begin(), arguments.end());
  return std::make_unique<Process>(all_arguments, false);
}

void Cluster::Apply(const std::vector<std::string>& texts) {
  std::vector<std::string> arguments{"apply"};
  for (const auto& it : texts) {
    arguments.push_back(
        WriteFile("contract-" + std::to_string(arguments.size()) + ".ini", it));
  }
  const auto tool = RunOperatorTool(arguments);
  if (tool->Wait(std::chrono::seconds(30)) != 0) {
    throw std::runtime_error("the operators' tool failed to apply contracts: " +
                             tool->output());
  }
}

std::unique_ptr<Process> Cluster::RunOperatorToolOnFile(
    std::vector<std::string> arguments,
    const std::string& text) {
  arguments.push_back(
      WriteFile("text-" + std::to_string(++written_texts_) + ".ini", text));
  return RunOperatorTool(arguments);
}

void Cluster::InjectFault(Process& standin,
                          const std::string& name,
                          int count,
                          std::chrono::milliseconds delay) {
  http_.Send(
      fiber_, standin.address(),
      {"POST",
       "/fault",
       {},
       json{{"name", name}, {"count", count}, {"delay_ms", delay.count()}}
           .dump()});
}

json Cluster::Audit(Process& standin) {
  try {
    return json::parse(
        http_.Send(fiber_, standin.address(), {"GET", "/audit"}).body);
  } catch (const HttpFailure&) {
    return nullptr;
  }
}

void Cluster::RestartEngine(int index) {
  auto& engine = engines_[static_cast<std::size_t>(index)];
  Restart(engine, "engine", options_.engine_arguments);
}

void Cluster::RestartToolServer(int index) {
  auto& server = tool_servers_[static_cast<std::size_t>(index)];
  Restart(server, "tools", options_.tool_arguments);
}

void Cluster::Restart(std::unique_ptr<Process>& standin,
                      const std::string& kind,
                      std::vector<std::string> arguments) {
  const auto address = standin->address();
  standin->Kill();
  arguments.insert(arguments.end(), {"--listen", address});
  standin = StartStandIn(kind, arguments);
}

std::size_t Cluster::HeldPrograms() {
  std::size_t out = 0;
  for (const auto& it : engines_) {
    const auto audit = Audit(*it);
    out += audit.is_object() ? audit["held"].size() : 0;
  }
  return out;
}

std::vector<json> Cluster::ToolRuns(const std::string& tool) {
  std::vector<json> out;
  for (const auto& it : tool_servers_) {
    const auto audit = Audit(*it);
    if (!audit.is_object()) {
      continue;
    }
    for (const auto& run : audit["runs"]) {
      if (run["tool"] == tool) {
        out.push_back(run);
      }
    }
  }
  return out;
}

bool Cluster::EventSeen(int index, const std::string& event) {
  std::ifstream in(folder_ + "/d" + std::to_string(index) + ".log");
  std::ostringstream text;
  text << in.rdbuf();
  return text.str().find("\"event\":\"" + event + "\"") != std::string::npos;
}

std::string Cluster::NextBlockKey(const std::string& customer,
                                  const std::string& program,
                                  int after) {
  const int lane = LaneOf(customer, program, kLanes);
  const auto status = Status(OwnerOf(customer, program));
  if (!status.is_object()) {
    return {};
  }
  for (const auto& it : status["lanes"]) {
    if (it["lane"] == lane) {
      return BlockKey(lane, it["blocks"].get<std::int64_t>() + 1 + after);
    }
  }
  return {};
}

int Cluster::OwnerOf(const std::string& customer, const std::string& program) {
  const int lane = LaneOf(customer, program, kLanes);
  int owner = -1;
  std::int64_t epoch = 0;
  for (int i = 0; i < daemons(); ++i) {
    const auto status = Status(i);
    if (!status.is_object()) {
      continue;
    }
    for (const auto& it : status["lanes"]) {
      if (it["lane"] == lane && it["epoch"].get<std::int64_t>() > epoch) {
        owner = i;
        epoch = it["epoch"].get<std::int64_t>();
      }
    }
  }
  return owner;
}

int Cluster::PreferredOwner(int lane) const {
  std::vector<std::string> ids;
  ids.reserve(daemons_.size());
  for (int i = 0; i < daemons(); ++i) {
    ids.push_back("d" + std::to_string(i));
  }
  const auto order = RendezvousOrder("lane/" + std::to_string(lane), ids);
  return static_cast<int>(std::find(ids.begin(), ids.end(), order.front()) -
                          ids.begin());
}

void Cluster::WaitSettled() {
  WaitFor("every lane to be owned by its preferred daemon", [&] {
    int settled_lanes = 0;
    for (int i = 0; i < daemons(); ++i) {
      const auto status = Status(i);
      if (!status.is_object()) {
        continue;
      }
      for (const auto& it : status["lanes"]) {
        settled_lanes += PreferredOwner(it["lane"].get<int>()) == i ? 1 : 0;
      }
    }
    return settled_lanes == kLanes;
  });
}

std::string Cluster::SettledProgram(const std::string& customer,
                                    const std::string& stem) {
  std::string out;
  int n = 0;
  WaitFor("a lane to be owned by its preferred daemon", [&] {
    out = stem + "-" + std::to_string(n++);
    return PreferredOwner(LaneOf(customer, out, kLanes)) ==
           OwnerOf(customer, out);
  });
  return out;
}

std::string QuoteContract() {
  return "[customer]\nname = bandwerk\napi_key_sha256 = " +
         Sha256Hex(kQuoteKey) +
         "\n[budget]\ntokens = 1000000\nperiod = 24h\n"
         "[share]\nweight = 2\n"
         "[tool stock_lookup]\nidempotent = true\nattempts = 3\n"
         "[tool book_order]\nidempotent = false\n";
}

std::string KioskContract() {
  return "[customer]\nname = lakeshore\napi_key_sha256 = " +
         Sha256Hex(kKioskKey) +
         "\n[budget]\ntokens = 1000000\nperiod = 24h\n"
         "[share]\nweight = 1\npriority = 5\n"
         "[tool print_voucher]\nidempotent = false\n"
         "[tool credit_donation]\nidempotent = false\n"
         "[tool kiosk_lock]\nidempotent = true\nattempts = 3\n"
         "urgent = true\n";
}

}  // namespace comfreyfold::harness
