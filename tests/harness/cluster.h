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
  // Daemons that have a data folder, kept over their restarts.
  std::set<int> data_folders;
  // More lines for each daemon's settings, by section.
  std::map<std::string, std::string> settings;
};

// Stand-ins and daemons as real processes on loopback, for tests, the demo
// and the bench.
class Cluster {
 public:
  static constexpr int kLanes = 12;

  Cluster(Fiber& fiber, ClusterOptions options);
  ~Cluster();

  // Replaces a section of the settings of daemons started from now on.
  void SetSettings(const std::string& section, const std::string& lines);
  // Starts daemon `index` (again, after Kill).
  void StartDaemon(int index);
  // Replaces the disk of a daemon that does not run by an empty one.
  void EmptyDataFolder(int index);
  // Starts a back end again at its address, after Kill, with no memory.
  void RestartEngine(int index);
  void RestartToolServer(int index);
  // Waits until every daemon that runs is ready and every lane has an owner.
  void WaitReady(std::chrono::milliseconds timeout = std::chrono::seconds(30));

  // Writes `text` to a file and applies it with the tool.
  void Apply(const std::vector<std::string>& texts);
  // Runs the tool on a file with `text`, named last.
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

  // The daemon's JSON status; null when it does not answer.
  nlohmann::json Status(int index);
  // Sets a fault of a stand-in.
  void InjectFault(Process& standin,
                   const std::string& name,
                   int count,
                   std::chrono::milliseconds delay = {});
  // What a stand-in saw; null when it does not answer.
  nlohmann::json Audit(Process& standin);
  // Runs of a tool over all tool servers that answer.
  std::vector<nlohmann::json> ToolRuns(const std::string& tool);
  // Programs that hold memory, over all engines that answer.
  std::size_t HeldPrograms();
  // Whether a daemon's log has an event of that name.
  bool EventSeen(int index, const std::string& event);
  // Index of the daemon that owns the program's lane; -1: none.
  int OwnerOf(const std::string& customer, const std::string& program);
  // Waits until every lane is with the daemon that it will stay with while
  // all of them live.
  void WaitSettled();
  // A program, named after `stem`, whose lane is with the daemon that it
  // will stay with while all of them live.
  std::string SettledProgram(const std::string& customer,
                             const std::string& stem);
  // The key, in the key-value service, of the next block of the program's
  // lane, or of one `after` it; empty when nobody owns it.
  std::string NextBlockKey(const std::string& customer,
                           const std::string& program,
                           int after = 0);
  // Runs the operators' tool.
  std::unique_ptr<Process> RunOperatorTool(
      const std::vector<std::string>& arguments);
  // The same without any address: those come from its settings.
  static std::unique_ptr<Process> RunOperatorToolWithoutAddresses(
      const std::vector<std::string>& arguments);
  // Publishes the VM list; `leaving` names ids in that state.
  void PublishVms(const std::vector<std::string>& leaving = {});

  // Waits on `ready`, asking again after each pause.
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

  std::map<std::string, std::string> replaced_;
  Fiber& fiber_;
  ClusterOptions options_;
  HttpClient http_;
  std::string folder_;
  int texts_ = 0;
  std::unique_ptr<Process> kv_;
  std::unique_ptr<Process> vms_;
  std::unique_ptr<Process> weights_;
  std::vector<std::unique_ptr<Process>> engines_;
  std::vector<std::unique_ptr<Process>> tool_servers_;
  std::vector<std::unique_ptr<Process>> daemons_;
};

// The contracts in the manner of the two early users.
std::string QuoteContract();
std::string KioskContract();
inline constexpr char kQuoteKey[] = "quote-api-key";
inline constexpr char kKioskKey[] = "kiosk-api-key";

}  // namespace comfreyfold::harness

#endif  // HARNESS_CLUSTER_H_
