#include "review/harness/fleet.h"

#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <sstream>
#include <utility>

#include <nlohmann/json.hpp>

#include "wire/storage_messages.h"

namespace comfreyfold::review {

namespace {

namespace fs = std::filesystem;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kMisdirected = 421;
constexpr int kFrontPort = 8149;
constexpr int kReadyPort = 8141;
constexpr int kControlPort = 8144;
constexpr int kInternalPort = 7380;
constexpr const char* kDaemon = "target/bin/comfreyfold-vm";
constexpr const char* kMetricsPort = "9464";
constexpr const char* kHost = "ficu95.example";
constexpr const char* kListKey = "comfreyfold/storage";
constexpr milliseconds kEventPause{5};
constexpr milliseconds kHeartbeat{1200};
constexpr milliseconds kPoll{20};
constexpr milliseconds kTimeLimit{110000};

std::string At(const Machine& machine, int port) {
  return machine.ip + ":" + std::to_string(port);
}

// Returns a /24 network of loopback addresses for this process.
std::string OwnNetwork() {
  constexpr unsigned kFirst = 130;
  const auto pid = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(kFirst + ((pid >> 8) & 63)) + "." +
         std::to_string(pid & 255) + ".";
}

// Returns the hexadecimal id of the part of the prompt that a session has of
// its own.
std::string SessionPart(const std::string& session) {
  char buf[17];
  std::snprintf(buf, sizeof buf, "%08zx",
                std::hash<std::string>{}(session)&0xffffffff);
  return buf;
}

json RouteEntry(const std::string& prefix,
                const char* type,
                const char* service,
                bool retain_context,
                double retention_s) {
  return {{"name", "r" + prefix},
          {"host", kHost},
          {"prefix", prefix},
          {"type", type},
          {"timeout_ms", 4000},
          {"target_latency_ms", 250},
          {"priority", 0},
          {"service", service},
          {"max_attempts", 1},
          {"retain_context", retain_context},
          {"retention_s", retention_s},
          {"cache_affinity", retain_context},
          {"resumable", false},
          {"target_gap_ms", 200}};
}

}  // namespace

Record::Record(const std::string& path)
    : out_(path), start_(std::chrono::steady_clock::now()) {}

milliseconds Record::Elapsed() const {
  return std::chrono::duration_cast<milliseconds>(
      std::chrono::steady_clock::now() - start_);
}

void Record::Write(const std::string& line) {
  out_ << Elapsed().count() << " ms  " << line << std::endl;
}

Fleet::Fleet(Loop& loop, Record& record, const Options& options)
    : loop_(loop),
      record_(record),
      options_(options),
      network_(OwnNetwork()),
      http_(loop),
      store_(loop),
      store_server_(loop,
                    [this](Fiber& fiber,
                           const HttpRequest& request,
                           HttpExchange& exchange) {
                      store_.Handle(fiber, request, exchange);
                    }) {
  auto pattern =
      (fs::temp_directory_path() / "comfreyfold-review-XXXXXX").string();
  if (::mkdtemp(pattern.data()) == nullptr) {
    throw CannotRun("no temporary folder");
  }
  folder_ = pattern;
  store_address_ = store_server_.Listen(network_ + "250:0");
}

Fleet::~Fleet() {
  machines_.clear();  // Kills the daemons.
  if (std::getenv("KEEP") == nullptr) {
    std::error_code ec;
    fs::remove_all(folder_, ec);
  } else {
    std::cerr << "kept " << folder_ << std::endl;
  }
}

Machine& Fleet::Add(const std::string& name,
                    const std::string& zone,
                    bool has_disk) {
  auto out = std::make_unique<Machine>();
  out->name = name;
  out->zone = zone;
  out->has_disk = has_disk;
  out->ip = network_ + std::to_string(machines_.size() + 1);
  if (has_disk) {
    fs::create_directories(folder_ + "/" + name);
  }
  machines_.push_back(std::move(out));
  return *machines_.back();
}

Machine& Fleet::AddDisk(const std::string& name, const std::string& zone) {
  auto& out = Add(name, zone, true);
  out.memory_mb = 130;
  return out;
}

Machine& Fleet::AddFront(const std::string& name,
                         const std::string& zone,
                         int memory_mb) {
  auto& out = Add(name, zone, false);
  out.memory_mb = memory_mb;
  return out;
}

void Fleet::WriteSettings(const Machine& machine, bool bootstrap) const {
  json seeds = json::array();
  for (const auto& it : machines_) {
    if (it->has_disk && seeds.size() < 3) {
      seeds.push_back(At(*it, kControlPort));
    }
  }
  json listen = json::object();
  json serves = json::array();
  if (machine.has_disk) {
    listen["control"] = At(machine, kControlPort);
    serves = {"storage", "control"};
  } else {
    listen["front"] = At(machine, kFrontPort);
    listen["ready"] = At(machine, kReadyPort);
    serves = {"front"};
  }
  const json file = {
      {"node_name", machine.name},
      {"role", machine.has_disk ? "storage" : "front"},
      {"machine_class", machine.has_disk ? "storage" : "front"},
      {"serves", serves},
      {"ip", machine.ip},
      {"zone", machine.zone},
      {"region", "ch-mittelland"},
      {"zones",
       {{"mit-a", "ch-mittelland"},
        {"mit-b", "ch-mittelland"},
        {"mit-c", "ch-mittelland"}}},
      {"listen", listen},
      {"internal_ports", {kInternalPort, kInternalPort + 15}},
      {"seeds", seeds},
      {"bootstrap", bootstrap},
      {"counts_as_loss", machine.has_disk},
      {"limits",
       {{"cpu_share", 0.5},
        {"cores", 1},
        {"memory_mb", machine.memory_mb},
        {"max_fds", machine.has_disk ? 8200 : 4100},
        {"link_mbps", 1000.0},
        {"disk_mb", machine.has_disk ? 360 : 0}}},
      {"data_dir",
       machine.has_disk ? json(folder_ + "/" + machine.name) : json()},
      {"discovery", "platform"},
      {"entry", "vip"},
      {"heartbeat_ms", 1200},
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
  std::ofstream(folder_ + "/" + machine.name + ".json") << file.dump(1);
}

void Fleet::Start(Machine& machine, bool bootstrap) {
  WriteSettings(machine, bootstrap);
  const auto file = folder_ + "/" + machine.name;
  ::setenv("COMFREYFOLD_SETTINGS", (file + ".json").c_str(), 1);
  machine.process = std::make_unique<harness::Process>(
      std::vector<std::string>{kDaemon, "--metrics-port", kMetricsPort}, false,
      file + ".err", file + ".log");
  record_.Write("start " + machine.name + " at " + machine.ip + ", zone " +
                machine.zone + ", bootstrap " + (bootstrap ? "1" : "0"));
}

void Fleet::Kill(Machine& machine, const std::string& reason) {
  record_.Write("SIGKILL " + machine.name + ": " + reason);
  if (machine.process) {
    machine.process->Kill();
  }
}

void Fleet::Wipe(const Machine& machine) {
  record_.Write("disk of " + machine.name + " is lost");
  fs::remove_all(folder_ + "/" + machine.name);
  fs::create_directories(folder_ + "/" + machine.name);
}

void Fleet::WriteRegistration(const std::string& id,
                              const std::string& service,
                              const std::string& address,
                              int seq) {
  const json entry = {
      {"service", service},     {"address", address}, {"zone", "mit-a"},
      {"version", "v1"},        {"slots", 16},        {"state", "ready"},
      {"cold_remaining_ms", 0}, {"seq", seq},         {"born", 1764936000000}};
  store_.Put("servers/" + id, entry.dump());
}

// A server writes its registration again every `heartbeat_ms`.
void Fleet::Register(const std::string& id,
                     const std::string& service,
                     const std::string& address) {
  WriteRegistration(id, service, address, 1);
  loop_.Spawn([this, id, service, address](Fiber& fiber) {
    for (int seq = 2;; ++seq) {
      fiber.Sleep(kHeartbeat);
      WriteRegistration(id, service, address, seq);
    }
  });
}

void Fleet::AddServer(const std::string& id, const std::string& service) {
  auto http = std::make_unique<HttpServer>(
      loop_, [this, id](Fiber& fiber, const HttpRequest& request,
                        HttpExchange& exchange) {
        ServeRequest(id, fiber, request, exchange);
      });
  Register(id, service, http->Listen(network_ + "251:0"));
  servers_.push_back({id, std::move(http)});
}

// A sound server: refuses requests for others, echoes the request's id, and
// streams as many tokens as the request asks for.
void Fleet::ServeRequest(const std::string& id,
                         Fiber& fiber,
                         const HttpRequest& request,
                         HttpExchange& exchange) {
  const auto request_id = request.Header("Request-Id");
  std::vector<HttpHeader> headers{{"Request-Id", request_id},
                                  {"Server-Load", "1,0,16"}};
  if (request.Path() == "/health") {
    exchange.Reply(kOk, "", "", {{"Instance-Id", id}});
    return;
  }
  if (request.Header("Expect-Instance") != id) {
    headers.push_back({"Not-Executed", "1"});
    exchange.Reply(kMisdirected, "", "", headers);
    return;
  }
  runs_.push_back({id, request_id, request.body});
  headers.push_back({"Response-Signature", "mac-" + request_id});
  if (request.Path().rfind("/turns/", 0) != 0) {
    exchange.Reply(kOk, "text/plain", "result of " + request_id, headers);
    return;
  }
  headers.push_back({"Weight-Versions", "1"});
  const auto usage = request.Header("Token-Usage");
  const auto tokens = std::atoi(usage.substr(usage.find(',') + 1).c_str());
  const int events = tokens / options_.event_stride;
  exchange.Begin(kOk, "text/event-stream", headers);
  for (int n = 1; n <= events; ++n) {
    exchange.Write("id: " + std::to_string(n) + "\ndata: " + request_id + "-" +
                   std::to_string(n) + "\n\n");
    fiber.Sleep(kEventPause);
    if (exchange.PeerGone()) {
      return;
    }
  }
  exchange.End();
}

void Fleet::WriteConfig() {
  json config;
  config["version"] = 7;
  config["routes"] = {
      RouteEntry("/turns/", "streaming", "models", true, options_.retention_s),
      RouteEntry("/book/", "unsafe", "tools", false, 0),
      RouteEntry("/look/", "safe", "tools", false, 0)};
  config["services"] = {{{"name", "models"},
                         {"health_check_path", "/health"},
                         {"max_connections", 160},
                         {"engine",
                          {{"slots", 16},
                           {"kv_capacity_tokens", 210674},
                           {"event_stride", options_.event_stride}}}},
                        {{"name", "tools"},
                         {"health_check_path", "/health"},
                         {"max_connections", 96}}};
  config["limits"] = {{"max_header_bytes", 16384},
                      {"max_body_bytes", 4194304},
                      {"header_timeout_ms", 3000},
                      {"idle_timeout_ms", 15000}};
  store_.Put("op/config", config.dump());
}

std::pair<std::size_t, std::size_t> Fleet::ListSizes() {
  const auto text = store_.Value(kListKey);
  if (text.empty()) {
    return {0, 0};
  }
  const auto list = DecodeStorageList(text);
  return {list.members.size(), list.next.size()};
}

bool Fleet::AwaitMembers(Fiber& fiber,
                         std::size_t disks,
                         milliseconds timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (std::chrono::steady_clock::now() < deadline) {
    if (ListSizes() == std::pair<std::size_t, std::size_t>(disks, 0)) {
      return true;
    }
    fiber.Sleep(kPoll);
  }
  return false;
}

bool Fleet::AwaitReady(Fiber& fiber,
                       const Machine& machine,
                       milliseconds timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (std::chrono::steady_clock::now() < deadline) {
    HttpOptions options;
    options.fresh_connection = true;
    options.idle_timeout = milliseconds(1000);
    try {
      if (http_
              .Send(fiber, At(machine, kReadyPort),
                    {"GET", "/api/readiness", {}, ""}, options)
              .status == kOk) {
        return true;
      }
    } catch (const HttpFailure&) {
    }
    fiber.Sleep(kPoll);
  }
  return false;
}

bool Fleet::HasEnded(const Machine& machine) {
  return !EndOf(machine).empty();
}

std::string Fleet::EndOf(const Machine& machine) {
  siginfo_t info{};
  if (::waitid(P_PID, static_cast<id_t>(machine.process->pid()), &info,
               WEXITED | WNOHANG | WNOWAIT) != 0) {
    return "unknown end";
  }
  if (info.si_pid == 0) {
    return "";
  }
  return (info.si_code == CLD_EXITED ? "status " : "signal ") +
         std::to_string(info.si_status);
}

long Fleet::ResidentKib(const Machine& machine) {
  std::ifstream in("/proc/" + std::to_string(machine.process->pid()) +
                   "/status");
  std::string line;
  while (std::getline(in, line)) {
    if (line.rfind("RssAnon:", 0) == 0) {
      return std::atol(line.c_str() + std::string("RssAnon:").size());
    }
  }
  return 0;
}

std::string Fleet::ClientAddress(const Machine& machine) const {
  return At(machine, kFrontPort);
}

Fleet::Answer Fleet::Send(Fiber& fiber,
                          const Machine& front,
                          const HttpRequest& request,
                          milliseconds timeout) {
  Answer out;
  HttpOptions options;
  options.fresh_connection = true;
  options.connect_timeout = milliseconds(1000);
  options.idle_timeout = timeout;
  options.total_timeout = timeout;
  options.on_data = [&out](std::string_view data) { out.body += data; };
  options.on_head = [&out](const HttpReply& reply) {
    out.status = reply.status;
    return ReplyAction::kAccept;
  };
  try {
    const auto reply =
        http_.Send(fiber, ClientAddress(front), request, options);
    out.status = reply.status;
    out.body += reply.body;
    out.complete = true;
    out.retry_after = milliseconds(static_cast<std::int64_t>(
        std::atof(reply.Header("Retry-After").c_str()) * 1000));
  } catch (const HttpFailure& e) {
    out.failure = e.what();
  }
  std::istringstream lines(out.body);
  for (std::string line; std::getline(lines, line);) {
    if (line.rfind("data: ", 0) == 0) {
      out.data += line.substr(6) + "\n";
      ++out.events;
    }
  }
  return out;
}

Fleet::Answer Fleet::SendTurn(Fiber& fiber,
                              const Machine& front,
                              const Turn& turn) {
  const auto start =
      program_starts_.emplace(turn.program, record_.Elapsed()).first->second;
  const auto finish_in =
      std::max(milliseconds(0), options_.aim - (record_.Elapsed() - start));
  const auto tokens =
      std::to_string(std::max<std::size_t>(1, turn.input.size() / 4));
  HttpRequest request;
  request.method = "POST";
  request.target = "/turns/2f";
  request.body = turn.input;
  request.headers = {
      {"Host", kHost},
      {"Request-Id", turn.id},
      {"Program-Id", turn.program},
      {"Session-Id", turn.session},
      {"Finish-Deadline-Ms", std::to_string(finish_in.count())},
      {"Token-Budget", std::to_string(turn.budget)},
      {"Token-Usage", std::to_string(turn.input.size() / 4) + "," +
                          std::to_string(turn.max_tokens)},
      {"Model-Id", "m"},
      {"Request-Deadline-Ms", std::to_string(turn.time_limit.count())}};
  if (!turn.previous.empty()) {
    request.headers.push_back({"Previous-Turn", turn.previous});
  }
  auto out = Send(fiber, front, request, turn.time_limit + milliseconds(500));
  std::string line =
      "turn " + turn.id + " of " + turn.program + " via " + front.name +
      ", previous " + (turn.previous.empty() ? "none" : turn.previous) + ": " +
      std::to_string(out.status) + (out.complete ? "" : " broken off") + ", " +
      std::to_string(out.events * options_.event_stride) + " tokens";
  if (out.status != kOk) {
    line += " " + out.body;
  }
  record_.Write(line);
  return out;
}

int RunCase(const Fleet::Options& options,
            const std::function<int(Fiber&, Fleet&, Record&, bool)>& body) {
  const char* path = std::getenv("RECORD");
  const char* trouble_text = std::getenv("TROUBLE");
  const bool trouble =
      trouble_text == nullptr || std::string(trouble_text) != "0";
  Record record(path == nullptr ? "record.txt" : path);
  int result = kCouldNotRun;
  try {
    if (::access(kDaemon, X_OK) != 0) {
      throw CannotRun("build the deploy file first");
    }
    Loop loop;
    loop.OnError([&record](const char* what) {
      record.Write(std::string("error: ") + what);
    });
    {
      Fleet fleet(loop, record, options);
      loop.Spawn([&](Fiber& fiber) {
        try {
          result = body(fiber, fleet, record, trouble);
        } catch (const CannotRun& e) {
          record.Write(std::string("could not run: ") + e.what());
        }
        loop.Stop();
      });
      loop.Spawn([&](Fiber& fiber) {
        fiber.Sleep(kTimeLimit);
        record.Write("could not run: the time limit has passed");
        result = kCouldNotRun;
        loop.Stop();
      });
      loop.OnTermination([&] {
        record.Write("could not run: stopped from outside");
        result = kCouldNotRun;
        loop.Stop();
      });
      loop.Run();
    }
    record.Write(result == kRuleBroken ? "result: rule broken"
                 : result == kRuleHeld ? "result: rule held"
                                       : "result: could not run");
    // Suspended coroutines may refer to what destructors would destroy.
    std::quick_exit(result);
  } catch (const std::exception& e) {
    record.Write(std::string("could not run: ") + e.what());
    return kCouldNotRun;
  }
}

}  // namespace comfreyfold::review
