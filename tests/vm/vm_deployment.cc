#include "vm/vm_deployment.h"

#include <nlohmann/json.hpp>

#include "harness/deployment.h"
#include "harness/test_folder.h"
#include "platform/registry_decoder.h"
#include "platform/request_headers.h"
#include "wire/storage_messages.h"

namespace comfreyfold {

namespace {

using harness::FreeAddress;
using harness::RouteEntry;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kWaitTimeout{20000};
constexpr milliseconds kPollInterval{10};
constexpr int kOk = 200;

}  // namespace

VmDeployment::VmDeployment(Loop& loop)
    : loop_(loop),
      http_(loop),
      store_(loop),
      store_server_(loop,
                    [this](Fiber& fiber,
                           const HttpRequest& request,
                           HttpExchange& exchange) {
                      store_.Handle(fiber, request, exchange);
                    }) {
  store_address_ = store_server_.Listen("127.0.0.1:0");
  folder_ = harness::MakeTestFolder();
}

VmDeployment::~VmDeployment() {
  std::error_code ec;
  std::filesystem::remove_all(folder_, ec);
}

void VmDeployment::WriteConfig(std::int64_t version, int retention_seconds) {
  json context_route = RouteEntry("/talk/stream/", "streaming", true, false);
  context_route["retention_s"] = retention_seconds;
  const json service = {{"name", "app"},
                        {"health_check_path", "/health"},
                        {"max_connections", 100},
                        {"engine", {{"slots", 8}, {"event_stride", 4}}}};
  json config;
  config["version"] = version;
  config["routes"] = json::array(
      {RouteEntry("/plain/", "safe", false, false),
       RouteEntry("/once/", "unsafe", false, false),
       RouteEntry("/stream/", "streaming", false, true), context_route});
  config["services"] = json::array({service});
  config["limits"] = {{"max_header_bytes", 16384},
                      {"max_body_bytes", 100000},
                      {"header_timeout_ms", 3000},
                      {"idle_timeout_ms", 15000}};
  store_.Put("op/config", config.dump());
}

VmDeployment::Server& VmDeployment::AddServer(const std::string& id,
                                              milliseconds work,
                                              const std::string& version) {
  auto& out = servers_[id];
  out.version = version;
  out.service = std::make_unique<standins::PlatformServer>(loop_, id, work);
  out.http = std::make_unique<HttpServer>(
      loop_,
      [service = out.service.get()](Fiber& fiber, const HttpRequest& request,
                                    HttpExchange& exchange) {
        service->Handle(fiber, request, exchange);
      });
  out.address = out.http->Listen("127.0.0.1:0");
  RegisterServer(id);
  return out;
}

void VmDeployment::RegisterServer(const std::string& id,
                                  const std::string& state,
                                  int started_ms) {
  const json entry = {{"service", "app"},
                      {"address", servers_.at(id).address},
                      {"zone", "north"},
                      {"version", servers_.at(id).version},
                      {"slots", 8},
                      {"state", state},
                      {"cold_remaining_ms", 0},
                      {"seq", 1},
                      {"born", started_ms}};
  store_.Put("servers/" + id, entry.dump());
}

VmDeployment::Vm& VmDeployment::AddVm(const std::string& name,
                                      bool has_disk,
                                      bool first_start,
                                      const std::string& data_centre) {
  auto vm = std::make_unique<Vm>();
  auto& settings = vm->settings;
  settings.vm = name;
  settings.data_centre = data_centre;
  settings.internal_address = FreeAddress(loop_);
  settings.store_address = store_address_;
  settings.first_start = first_start;
  settings.tolerated_losses = 1;
  settings.memory_bytes = 100L * 1024 * 1024;
  if (has_disk) {
    settings.memory_bytes = storage_memory_bytes_;
    settings.disk_bytes = disk_bytes_;
    settings.data_folder = (folder_ / name).string();
    std::filesystem::remove_all(settings.data_folder);
    std::filesystem::create_directories(settings.data_folder);
  } else {
    settings.client_address = FreeAddress(loop_);
    settings.ready_address = FreeAddress(loop_);
  }
  for (const auto& [other, it] : vms_) {
    if (!it->settings.data_folder.empty()) {
      settings.seeds.push_back(it->settings.internal_address);
    }
  }
  StartDaemon(*vm);
  auto& out = vms_[name];
  out = std::move(vm);
  return *out;
}

void VmDeployment::StartDaemon(Vm& vm) {
  vm.http = std::make_unique<HttpClient>(loop_);
  vm.store = std::make_unique<platform::StoreClient>(*vm.http, store_address_,
                                                     milliseconds(700));
  vm.daemon = std::make_unique<VmDaemon>(
      loop_, *vm.http, vm.settings,
      VmPlatform{*vm.store,
                 {"op/", platform::kConfigKey, platform::kServersPrefix,
                  kStorageListKey, platform::DecodeRouting,
                  platform::DecodeServer, DecodeStorageList},
                 {platform::kRetireRequestPrefix, platform::kRetireStatusPrefix,
                  platform::EncodeRetireStatus},
                 platform::PlatformRequestCodec()},
      0);
  vm.daemon->Start();
}

// The coroutines of the old daemon do not end, so it is never destroyed.
void VmDeployment::RestartVm(Vm& vm) {
  static_cast<void>(vm.daemon.release());
  static_cast<void>(vm.store.release());
  static_cast<void>(vm.http.release());
  vm.settings.first_start = false;
  StartDaemon(vm);
}

void VmDeployment::StopVm(Fiber& fiber, Vm& vm) {
  const auto stopped = std::make_shared<bool>(false);
  vm.daemon->Stop([stopped] { *stopped = true; });
  if (!WaitFor(fiber, [stopped] { return *stopped; })) {
    throw std::runtime_error("the daemon of " + vm.settings.vm +
                             " did not stop");
  }
}

bool VmDeployment::WaitFor(Fiber& fiber,
                           const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + kWaitTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    fiber.Sleep(kPollInterval);
  }
  return true;
}

bool VmDeployment::IsReady(Fiber& fiber, const Vm& vm) {
  try {
    return http_
               .Send(fiber, vm.settings.ready_address,
                     {"GET", "/api/readiness", {}, ""})
               .status == kOk;
  } catch (const HttpFailure&) {
    return false;
  }
}

StorageList VmDeployment::List() const {
  const auto text = store_.Value(kStorageListKey);
  return text.empty() ? StorageList{} : DecodeStorageList(text);
}

std::size_t VmDeployment::StorageMemberCount() const {
  const auto list = List();
  return list.changing() ? 0 : list.members.size();
}

void VmDeployment::StartAll(Fiber& fiber, int front_count) {
  WriteConfig(1);
  for (const auto* name : {"disk-1", "disk-2", "disk-3"}) {
    AddVm(name, true);
  }
  for (int n = 1; n <= front_count; ++n) {
    AddVm("front-" + std::to_string(n), false);
  }
  const bool started =
      WaitFor(fiber, [this] { return StorageMemberCount() == 3; }) &&
      WaitFor(fiber, [this, &fiber, front_count] {
        return IsReady(fiber, vm("front-" + std::to_string(front_count)));
      });
  if (!started) {
    throw std::runtime_error("the deployment did not start");
  }
}

HttpReply VmDeployment::Send(Fiber& fiber,
                             const Vm& vm,
                             const ClientRequest& client_request) {
  HttpRequest request{"POST", client_request.path, client_request.headers,
                      client_request.body};
  request.headers.push_back({"Host", "shop"});
  request.headers.push_back({"Request-Id", client_request.id});
  request.headers.push_back(
      {"Request-Deadline-Ms",
       std::to_string(client_request.time_limit.count())});
  HttpOptions options;
  options.idle_timeout = client_request.time_limit + milliseconds(2000);
  try {
    return http_.Send(fiber, vm.settings.client_address, request, options);
  } catch (const HttpFailure&) {
    return {};
  }
}

void RunWithDeployment(const std::function<void(Fiber&, VmDeployment&)>& body) {
  // The loop and the deployment are never destroyed: the daemons' coroutines do
  // not end, and they refer to both.
  auto* loop = new Loop;
  auto* deployment = new VmDeployment(*loop);
  std::exception_ptr failure;
  loop->Spawn([&](Fiber& fiber) {
    try {
      body(fiber, *deployment);
    } catch (...) {
      failure = std::current_exception();
    }
    loop->Stop();
  });
  loop->Run();
  if (failure) {
    std::rethrow_exception(failure);
  }
}

}  // namespace comfreyfold
