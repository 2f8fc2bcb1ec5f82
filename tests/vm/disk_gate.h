#ifndef VM_DISK_GATE_H_
#define VM_DISK_GATE_H_

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <utility>

#include "storage/disk_log.h"
#include "vm/vm_deployment.h"

namespace comfreyfold {

// Makes writes to disks wait, as a disk does that is busy with others' writes.
class DiskGate {
 public:
  ~DiskGate() { Open(); }

  // Writes of the VM's disk wait from now on while the gate is closed. The gate
  // must outlive the daemon.
  void Guard(VmDeployment::Vm& vm) {
    vm.daemon->BeforeDiskWrite(HookOf(
        {WriteKind::kForeground, WriteKind::kBackground, WriteKind::kFile}));
  }
  // The same for a log without a daemon, and for writes of `kinds`.
  void Guard(DiskLog& log,
             std::set<WriteKind> kinds = {WriteKind::kForeground,
                                          WriteKind::kBackground,
                                          WriteKind::kFile}) {
    log.BeforeWrite(HookOf(std::move(kinds)));
  }
  void Close() {
    const std::lock_guard lock(mutex_);
    closed_ = true;
  }
  void Open() {
    const std::lock_guard lock(mutex_);
    closed_ = false;
    opened_.notify_all();
  }
  // Lets one write of each kind pass the closed gate.
  void LetOnePass() {
    const std::lock_guard lock(mutex_);
    for (const auto it :
         {WriteKind::kForeground, WriteKind::kBackground, WriteKind::kFile}) {
      ++admitted_[it];
    }
    opened_.notify_all();
  }
  // Number of disks that have a write waiting.
  int waiting() {
    const std::lock_guard lock(mutex_);
    return static_cast<int>(waiting_.size());
  }

 private:
  std::function<void(WriteKind)> HookOf(std::set<WriteKind> kinds) {
    return [this, kinds = std::move(kinds), disk = disks_++](WriteKind kind) {
      if (kinds.count(kind) > 0) {
        Pass(disk, kind);
      }
    };
  }
  void Pass(int disk, WriteKind kind) {
    std::unique_lock lock(mutex_);
    ++waiting_[disk];
    opened_.wait(lock,
                 [this, kind] { return !closed_ || admitted_[kind] > 0; });
    admitted_[kind] -= closed_ ? 1 : 0;
    if (--waiting_[disk] == 0) {
      waiting_.erase(disk);
    }
  }

  std::mutex mutex_;
  std::condition_variable opened_;
  bool closed_ = false;
  int disks_ = 0;
  std::map<int, int> waiting_;  // Writes by disk.
  std::map<WriteKind, int> admitted_;
};

}  // namespace comfreyfold

#endif  // VM_DISK_GATE_H_
