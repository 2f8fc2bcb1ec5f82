#ifndef HARNESS_CLUSTER_H_
#define HARNESS_CLUSTER_H_

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "harness/process.h"
#include "net/http_client.h"

namespace comfreyfold::harness {

struct ClusterOptions {
  int daemons = 3;
  int engines = 2;
  int tool_servers = 2;
  std::vector<std::string> models{"quote-large"};
  std::vector<std::string> tools{"stock_lookup", "book_order", "print_voucher",
                                 "credit_donation", "kiosk_lock"};
  std::vector<std::string> engine_arguments;
  std::vector<std::string> tool_arguments;
  bool engines_check_fencing = true;
  bool weight_store = false;
  // Indices of the daemons with a data folder; it survives their restarts.
  std::set<int> data_folders;
  // Lines to append to every daemon's settings, by section.
  std::map<std::string, std::string> settings;
};

// Runs a set of daemons and the stand-ins of their outside systems, each as a
// process of its own on loopback, for tests, the demo and the benchmarks.
class Cluster {
 public:
  static constexpr int kLanes = 12;

  Cluster(Fiber& fiber, ClusterOptions options);
  ~Cluster();

  // Replaces a settings section for daemons that are started after this call.
  void SetSettings(const std::string& section, const std::string& lines);
  // Starts daemon `index`; a daemon that ran before keeps its address.
  void StartDaemon(int index);
  // Removes the data folder of a stopped daemon, as if its disk was lost.
  void EmptyDataFolder(int index);
  // Kills a backend server and starts it at the same address without its
  // previous state.
  void RestartEngine(int index);
  void RestartToolServer(int index);
  // Waits until the running daemons own all lanes and each of them knows the
  // backend servers and all other daemons.
  void WaitReady(std::chrono::milliseconds timeout = std::chrono::seconds(30));

  // Writes each text to a file and applies the files with the operators' tool.
  void Apply(const std::vector<std::string>& texts);
  // Runs the operators' tool with `arguments`, followed by the name of a file
  // that contains `text`.
  std::unique_ptr<Process> RunOperatorToolOnFile(
      std::vector<std::string> arguments,
      const std::string& text);

  Process& daemon(int index) {
    return *daemons_[static_cast<std::size_t>(index)];
  }
  int daemons() const { return static_cast<int>(daemons_.size()); }
  Process& kv() { return *kv_; }
  Process& vms() { return *vms_; }
  Process& engine(int index) {
    return *engines_[static_cast<std::size_t>(index)];
  }
  Process& tool_server(int index) {
    return *tool_servers_[static_cast<std::size_t>(index)];
  }
  Process& weights() { return *weights_; }
  int engines() const { return static_cast<int>(engines_.size()); }
  int tool_servers() const { return static_cast<int>(tool_servers_.size()); }
  HttpClient& http() { return http_; }
  Fiber& fiber() { return fiber_; }
  const std::string& folder() const { return folder_; }

  // Returns the daemon's JSON status; null if it does not answer.
  nlohmann::json Status(int index);
  // Makes a stand-in show fault `name` for `count` requests (see
  // standins/faults.h).
  void InjectFault(Process& standin,
                   const std::string& name,
                   int count,
                   std::chrono::milliseconds delay = {});
  // Returns a stand-in's record of the requests it got; null if it does not
  // answer.
  nlohmann::json Audit(Process& standin);
  // Returns the recorded runs of a tool from all tool servers that answer.
  std::vector<nlohmann::json> ToolRuns(const std::string& tool);
  // Returns the number of programs for which engines hold a prompt in
  // their prefix cache, summed over all engines that answer.
  std::size_t HeldPrograms();
  // Returns whether the daemon's log contains an event of that name.
  bool EventSeen(int index, const std::string& event);
  // Returns the index of the daemon that owns the program's lane; -1 if no
  // daemon reports owning it.
  int OwnerOf(const std::string& customer, const std::string& program);
  // Waits until every lane is owned by its preferred daemon, the first in
  // rendezvous order, which keeps it as long as all daemons run.
  void WaitSettled();
  // Returns the id of a program, "`stem`-N", whose lane is owned by its
  // preferred daemon.
  std::string SettledProgram(const std::string& customer,
                             const std::string& stem);
  // Returns the key in the key-value service of the next block that the
  // program's lane will write, or of the block `after` positions later; empty
  // if no daemon owns the lane.
  std::string NextBlockKey(const std::string& customer,
                           const std::string& program,
                           int after = 0);
  // Runs the operators' tool with the addresses of this cluster.
  std::unique_ptr<Process> RunOperatorTool(
      const std::vector<std::string>& arguments);
  // Runs the operators' tool without addresses; it takes them from its
  // settings.
  static std::unique_ptr<Process> RunOperatorToolWithoutAddresses(
      const std::vector<std::string>& arguments);
  // Publishes the VM list, with the VMs whose ids are in `leaving` in state
  // "leaving" and all others "live".
  void PublishVms(const std::vector<std::string>& leaving = {});

  // Polls `ready` until it returns true. Throws std::runtime_error, naming
  // `what`, after `timeout`.
  void WaitFor(const char* what,
               const std::function<bool()>& ready,
               std::chrono::milliseconds timeout = std::chrono::seconds(30));

 private:
  int PreferredOwner(int lane) const;
  std::string DataFolder(int index) const;
  std::string WriteFile(const std::string& name, const std::string& text);
  static void Restart(std::unique_ptr<Process>& standin,
                      const std::string& kind,
                      std::vector<std::string> arguments);

  // Settings sections that replace the default ones, set by SetSettings.
  std::map<std::string, std::string> replaced_sections_;
  Fiber& fiber_;
  ClusterOptions options_;
  HttpClient http_;
  std::string folder_;
  int written_texts_ = 0;
  std::unique_ptr<Process> kv_;
  std::unique_ptr<Process> vms_;
  std::unique_ptr<Process> weights_;
  std::vector<std::unique_ptr<Process>> engines_;
  std::vector<std::unique_ptr<Process>> tool_servers_;
  std::vector<std::unique_ptr<Process>> daemons_;
};

// Contracts of the two customers that the tests and the demo use.
std::string QuoteContract();
std::string KioskContract();
inline constexpr char kQuoteKey[] = "quote-api-key";
inline constexpr char kKioskKey[] = "kiosk-api-key";

}  // namespace comfreyfold::harness

#endif  // HARNESS_CLUSTER_H_
