#include "fleet.h"

#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <stdexcept>
#include <utility>

#include <nlohmann/json.hpp>

#include "storage/storage_membership_manager.h"
#include "wire/codec.h"
#include "wire/storage_messages.h"

namespace comfreyfold::review {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

namespace fs = std::filesystem;

// The words of the `run` lines of deploy/system.toml.
const std::vector<std::string> kRun = {"target/bin/comfreyfold-vm",
                                       "--metrics-port", "9464"};
constexpr const char* kServerProgram = "target/review-2/bin/review-2";
constexpr const char* kHost = "shop.example";
constexpr milliseconds kHeartbeat{1200};
constexpr milliseconds kStartTimeout{20000};
// Traffic starts 10 s after the machines do (SYSTEM.md).
constexpr milliseconds kTrafficDelay{10000};
constexpr milliseconds kPoll{50};
constexpr int kOk = 200;

int PortOf(const std::string& address) {
  return std::stoi(address.substr(address.rfind(':') + 1));
}

std::int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Takes the complete events from the front of `text`.
void TakeEvents(std::string& text, Answer& answer) {
  for (;;) {
    const auto end = text.find("\n\n");
    if (end == std::string::npos) {
      return;
    }
    const auto event = text.substr(0, end + 1);
    text.erase(0, end + 2);
    std::size_t start = 0;
    std::string data;
    while (start < event.size()) {
      const auto stop = event.find('\n', start);
      const auto line = event.substr(start, stop - start);
      start = stop + 1;
      if (line.rfind("id: ", 0) == 0) {
        answer.last_event_id = line.substr(4);
      } else if (line.rfind("data: ", 0) == 0) {
        data += line.substr(6);
      }
    }
    answer.events.push_back(data);
  }
}

}  // namespace

bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

std::string PromptParts(const std::string& session) {
  char own[17];
  std::snprintf(own, sizeof own, "%016zx", std::hash<std::string>{}(session));
  return std::string("5c1e07a2:60,") + own + ":40";
}

milliseconds PauseAfter(const Answer& answer,
                        milliseconds pause,
                        milliseconds time_left) {
  const milliseconds asked(static_cast<std::int64_t>(
      std::strtod(answer.retry_after.c_str(), nullptr) * 1000));
  return std::max(pause, std::min(asked, time_left / 3));
}

Fleet::Fleet(Loop& loop, Record& record)
    : loop_(loop),
      record_(record),
      http_(loop),
      store_(loop),
      store_server_(loop,
                    [this](Fiber& fiber,
                           const HttpRequest& request,
                           HttpExchange& exchange) {
                      store_.Handle(fiber, request, exchange);
                    }) {
  auto name =
      (fs::temp_directory_path() / "comfreyfold-review-XXXXXX").string();
  if (::mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("no temporary folder");
  }
  folder_ = name;
  store_address_ = store_server_.Listen(NextIp() + ":0");
  loop_.Spawn([this](Fiber& fiber) { Heartbeat(fiber); });
}

void Fleet::EndProcesses() {
  for (auto& [name, it] : machines_) {
    it->process.reset();
  }
  for (auto& [id, it] : servers_) {
    it->process.reset();
  }
  std::error_code ec;
  if (std::getenv("KEEP_LOGS") == nullptr) {
    fs::remove_all(folder_, ec);
  }
}

// An address for each machine that no other run uses at the same time.
std::string Fleet::NextIp() {
  const int pid = ::getpid();
  return "127." + std::to_string(64 + pid / 250 % 60) + "." +
         std::to_string(pid % 250) + "." + std::to_string(++next_ip_);
}

std::string Fleet::FreeAddressAt(const std::string& ip) {
  HttpServer probe(loop_, [](Fiber&, const HttpRequest&, HttpExchange&) {});
  auto out = probe.Listen(ip + ":0");
  probe.Drain();
  return out;
}

void Fleet::AddMachines(const std::vector<std::string>& zones,
                        int fronts_per_zone) {
  zones_ = zones;
  for (const auto& zone : zones) {
    AddStorage(zone, "storage-" + zone + "-1");
    for (int n = 1; n <= fronts_per_zone; ++n) {
      auto front = std::make_unique<Machine>();
      front->name = "front-" + zone + "-" + std::to_string(n);
      front->zone = zone;
      front->ip = NextIp();
      front->front = FreeAddressAt(front->ip);
      front->ready = FreeAddressAt(front->ip);
      front->internal = FreeAddressAt(front->ip);
      machines_[front->name] = std::move(front);
    }
  }
}

Fleet::Machine& Fleet::AddStorage(const std::string& zone,
                                  const std::string& name) {
  auto& out = machines_[name];
  out = std::make_unique<Machine>();
  out->name = name;
  out->zone = zone;
  out->ip = NextIp();
  out->data_folder = (folder_ / name).string();
  fs::create_directories(out->data_folder);
  out->control = FreeAddressAt(out->ip);
  out->internal = FreeAddressAt(out->ip);
  return *out;
}

void Fleet::Wipe(const Machine& machine) {
  fs::remove_all(machine.data_folder);
  fs::create_directories(machine.data_folder);
}

Fleet::Machine& Fleet::FrontOf(const std::string& zone, int n) {
  return machine("front-" + zone + "-" + std::to_string(n));
}

Fleet::Machine& Fleet::StorageOf(const std::string& zone) {
  return machine("storage-" + zone + "-1");
}

void Fleet::WriteConfig(int version,
                        const std::vector<RouteSpec>& routes,
                        const std::vector<ServiceSpec>& services) {
  json config;
  config["version"] = version;
  config["routes"] = json::array();
  for (const auto& it : routes) {
    json route = {{"name", it.prefix},
                  {"host", kHost},
                  {"prefix", it.prefix},
                  {"type", it.type},
                  {"service", it.service},
                  {"timeout_ms", it.timeout_ms},
                  {"target_latency_ms", it.target_latency_ms},
                  {"priority", it.priority},
                  {"max_attempts", it.max_attempts},
                  {"cache_affinity", it.type == "streaming"},
                  {"resumable", it.resumable},
                  {"target_gap_ms", 200}};
    if (it.retain_context) {
      route["retain_context"] = true;
    }
    if (it.type == "streaming") {
      route["retention_s"] = it.retention_s;
    }
    config["routes"].push_back(route);
  }
  config["services"] = json::array();
  for (const auto& it : services) {
    json service = {{"name", it.name},
                    {"health_check_path", "/health"},
                    {"max_connections", 160}};
    if (it.is_engine) {
      service["engine"] = {{"slots", it.slots},
                           {"kv_capacity_tokens", 210674},
                           {"event_stride", 4}};
    }
    config["services"].push_back(service);
  }
  config["limits"] = {{"max_header_bytes", 16384},
                      {"max_body_bytes", 4194304},
                      {"header_timeout_ms", 3000},
                      {"idle_timeout_ms", 15000}};
  store_.Put("op/config", config.dump());
  record_.Write("the operator writes version " + std::to_string(version));
}

Fleet::Server& Fleet::AddServer(const ServerSpec& spec) {
  auto& out = servers_[spec.id];
  out = std::make_unique<Server>();
  out->spec = spec;
  StartServer(*out);
  return *out;
}

void Fleet::StartServer(Server& server) {
  const auto now = UnixMilliseconds();
  server.born = std::max(now, server.born + 1);
  server.seq = 0;
  server.state = "ready";
  const auto& spec = server.spec;
  std::vector<std::string> arguments = {
      kServerProgram, "server",
      "--id",         spec.id,
      "--version",    spec.version,
      "--born",       std::to_string(server.born),
      "--slots",      std::to_string(spec.slots),
      "--listen",     server.address.empty() ? NextIp() + ":0" : server.address,
      "--runs",       (folder_ / "runs.txt").string()};
  arguments.insert(arguments.end(), spec.arguments.begin(),
                   spec.arguments.end());
  server.process = std::make_unique<harness::Process>(arguments, true);
  server.address = server.process->address();
  record_.Write("server " + spec.id + " starts, version " + spec.version +
                ", at " + server.address);
  Register(server);
}

void Fleet::Register(Server& server) {
  if (!server.registers) {
    return;
  }
  const json entry = {{"service", server.spec.service},
                      {"address", server.address},
                      {"zone", server.spec.zone},
                      {"version", server.spec.version},
                      {"slots", server.spec.slots},
                      {"state", server.state},
                      {"cold_remaining_ms", 0},
                      {"seq", ++server.seq},
                      {"born", server.born}};
  store_.Put("servers/" + server.spec.id, entry.dump());
}

void Fleet::Heartbeat(Fiber& fiber) {
  for (;;) {
    fiber.Sleep(kHeartbeat);
    for (auto& [id, it] : servers_) {
      if (it && it->process) {
        Register(*it);
      }
    }
  }
}

void Fleet::WriteSettings(const Machine& machine) const {
  const bool has_disk = !machine.data_folder.empty();
  json zones = json::object();
  for (const auto& it : zones_) {
    zones[it] = "home";
  }
  json listen = json::object();
  if (has_disk) {
    listen["control"] = machine.control;
  } else {
    listen["front"] = machine.front;
    listen["ready"] = machine.ready;
  }
  json seeds = json::array();
  for (const auto& [name, it] : machines_) {
    if (!it->control.empty() && seeds.size() < 3) {
      seeds.push_back(it->control);
    }
  }
  const int port = PortOf(machine.internal);
  const json file = {
      {"node_name", machine.name},
      {"role", has_disk ? "storage" : "front"},
      {"machine_class", has_disk ? "storage" : "front"},
      {"serves", has_disk ? json{"storage", "control"} : json{"front"}},
      {"ip", machine.ip},
      {"zone", machine.zone},
      {"region", "home"},
      {"zones", zones},
      {"listen", listen},
      {"internal_ports", {port, port + 15}},
      {"seeds", seeds},
      {"bootstrap", !machine.booted},
      {"counts_as_loss", has_disk},
      {"limits",
       {{"cpu_share", has_disk ? 0.5 : 0.25},
        {"cores", 1},
        {"memory_mb", has_disk ? 130 : 110},
        {"max_fds", has_disk ? 8200 : 4100},
        {"link_mbps", 1000.0},
        {"disk_mb", has_disk ? 360 : 0}}},
      {"data_dir", has_disk ? json(machine.data_folder) : json(nullptr)},
      {"discovery", "platform"},
      {"entry", "vip"},
      {"heartbeat_ms", kHeartbeat.count()},
      {"contracts",
       {"base", "drain", "config", "cost", "recover", "agent", "stream",
        "engine", "platform"}},
      {"fault_tolerance", {{"machines", 1}, {"zones", 0}, {"regions", 0}}},
      {"bounds",
       {{"seed_lag_s", 3},
        {"addr_reuse_s", 2},
        {"contact_ms", 3000},
        {"ack_ms", 4000},
        {"catch_up_s", 4.4},
        {"drain_ms", 2000},
        {"grace_s", 8},
        {"loss_slack_ms", 200},
        {"config_apply_ms", 2000},
        {"rollback_slack_ms", 250},
        {"max_skew_ms", 5000},
        {"recover_s", 12},
        {"pass_ms", 120},
        {"retry_after_s", 0},
        {"finish_s", 10},
        {"settle_ms", 1000}}},
      {"platform",
       {{"address", store_address_},
        {"form", "kv"},
        {"writes_per_s", 400},
        {"reads_per_s", 2000},
        {"history_s", 20},
        {"value_bytes", 1048576},
        {"ttl_min_ms", 1000}}}};
  std::ofstream(folder_ / (machine.name + ".json")) << file.dump(1);
}

void Fleet::StartMachine(Machine& machine) {
  WriteSettings(machine);
  machine.booted = true;
  const auto settings = (folder_ / (machine.name + ".json")).string();
  ::setenv("COMFREYFOLD_SETTINGS", settings.c_str(), 1);
  const auto log = (folder_ / (machine.name + ".log")).string();
  machine.process =
      std::make_unique<harness::Process>(kRun, false, log + ".err", log);
  record_.Write("machine " + machine.name + " starts");
}

bool Fleet::IsReady(Fiber& fiber, const Machine& machine) {
  HttpOptions options;
  options.idle_timeout = milliseconds(500);
  options.fresh_connection = true;
  try {
    return http_
               .Send(fiber, machine.ready, {"GET", "/api/readiness", {}, ""},
                     options)
               .status == kOk;
  } catch (const HttpFailure&) {
    return false;
  }
}

std::vector<std::string> Fleet::MembersInOrder() const {
  std::vector<std::string> out;
  const auto text = store_.Value(kStorageListKey);
  if (text.empty()) {
    return out;
  }
  const auto list = DecodeStorageList(text);
  if (!list.changing()) {
    for (const auto& it : list.members) {
      out.push_back(it.vm);
    }
  }
  return out;
}

bool Fleet::Start(Fiber& fiber) {
  for (auto& [name, it] : machines_) {
    StartMachine(*it);
  }
  const auto started = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() < started + kStartTimeout) {
    bool ready = MembersInOrder().size() == zones_.size();
    for (auto& [name, it] : machines_) {
      ready = ready && (it->ready.empty() || IsReady(fiber, *it));
    }
    if (ready && std::chrono::steady_clock::now() >= started + kTrafficDelay) {
      return true;
    }
    fiber.Sleep(kPoll);
  }
  return false;
}

Answer Fleet::Send(Fiber& fiber, const Machine& front, const Attempt& attempt) {
  Answer out;
  HttpRequest request{attempt.method, attempt.path, attempt.headers,
                      attempt.body};
  request.headers.push_back({"Host", kHost});
  request.headers.push_back({"Request-Id", attempt.id});
  request.headers.push_back(
      {"Request-Deadline-Ms", std::to_string(attempt.time_limit.count())});
  std::string text;
  HttpOptions options;
  options.fresh_connection = true;
  options.connect_timeout = milliseconds(1000);
  options.idle_timeout = attempt.time_limit + milliseconds(300);
  options.total_timeout = attempt.time_limit + milliseconds(300);
  options.on_head = [&out](const HttpReply& reply) {
    out.status = reply.status;
    out.signature = reply.Header("Response-Signature");
    out.server_leaving = reply.Header("Server-Leaving");
    out.retry_after = reply.Header("Retry-After");
    return ReplyAction::kAccept;
  };
  options.on_data = [&out, &text](std::string_view data) {
    out.body += data;
    text += data;
    TakeEvents(text, out);
  };
  try {
    const auto reply = http_.Send(fiber, front.front, request, options);
    out.complete = true;
    if (out.status / 100 != 2) {
      out.body = reply.body;
    }
  } catch (const HttpFailure& e) {
    out.failure = e.what();
  }
  record_.Write(
      "client: " + attempt.method + " " + attempt.path + " " + attempt.id +
      " to " + front.name + " -> " + std::to_string(out.status) +
      (out.complete ? ", complete" : ", not complete") +
      (out.events.empty() ? ""
                          : ", events " + std::to_string(out.events.size())) +
      (out.status >= 400 ? " " + out.body.substr(0, 60) : "") +
      (out.failure.empty() ? "" : " (" + out.failure + ")"));
  return out;
}

// The loop is never destroyed: coroutines that have not ended refer to it.
int RunInLoop(const std::function<int(Fiber&, Loop&)>& body) {
  auto* loop = new Loop;
  int out = 2;
  loop->Spawn([&out, loop, &body](Fiber& fiber) {
    try {
      out = body(fiber, *loop);
    } catch (const std::exception& e) {
      std::fprintf(stderr, "%s\n", e.what());
      out = 2;
    }
    loop->Stop();
  });
  loop->Run();
  return out;
}

}  // namespace comfreyfold::review
