#ifndef SOAK_FAULT_PROXY_H_
#define SOAK_FAULT_PROXY_H_

#include <chrono>
#include <memory>
#include <string>

namespace comfreyfold::soak {

// What a proxy does to the connections through it.
enum class ProxyMode {
  kPass,
  kDelay,       // Bytes come later, both ways.
  kReset,       // Connections are reset, new ones too.
  kCutRequest,  // Nothing reaches the target; its answers pass.
  kCutAnswer,   // Requests reach the target; nothing comes back.
  kSilent,      // Open connections go silent for good; new ones work.
};

// A proxy on loopback before one address. All proxies share a thread, so
// that their delays do not depend on what the test does.
class FaultProxy {
 public:
  // Listens on a free port; `target` is ip:port.
  explicit FaultProxy(const std::string& target);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  const std::string& address() const { return address_; }
  void Set(ProxyMode mode, std::chrono::milliseconds delay = {});

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
  std::string address_;
};

}  // namespace comfreyfold::soak

#endif  // SOAK_FAULT_PROXY_H_
