#include "process/failure.h"

#include <algorithm>
#include <csignal>
#include <stdexcept>

namespace comfreyfold::process {

namespace {

using harness::Cluster;

constexpr int kAnswersLost = 3;

// The server that runs the call now; the first when none does.
int BusyServer(Cluster& cluster) {
  for (int i = 0; i < cluster.tool_servers(); ++i) {
    const auto audit = cluster.Audit(cluster.tool_server(i));
    if (audit.is_object() && !audit["runs"].empty()) {
      return i;
    }
  }
  return 0;
}

void FaultTools(Cluster& cluster, const std::string& fault, int count) {
  for (int i = 0; i < cluster.tool_servers(); ++i) {
    // Another failure may have killed this one.
    if (cluster.Audit(cluster.tool_server(i)).is_object()) {
      cluster.InjectFault(cluster.tool_server(i), fault, count);
    }
  }
}

void StartAgain(Cluster& cluster, int daemon) {
  cluster.daemon(daemon).Kill();
  cluster.StartDaemon(daemon);
}

std::vector<Failure> MakeFailures() {
  return {
      {"entry_killed", [](Scene& it) { it.cluster.daemon(it.entry).Kill(); },
       [](Scene& it) { StartAgain(it.cluster, it.entry); }},
      {"owner_killed", [](Scene& it) { it.cluster.daemon(it.owner).Kill(); },
       [](Scene& it) { StartAgain(it.cluster, it.owner); }},
      {"owner_frozen",
       [](Scene& it) { it.cluster.daemon(it.owner).Signal(SIGSTOP); },
       [](Scene& it) { it.cluster.daemon(it.owner).Signal(SIGCONT); }},
      {"server_killed",
       [](Scene& it) { it.cluster.tool_server(BusyServer(it.cluster)).Kill(); },
       [](Scene& it) {
         for (int i = 0; i < it.cluster.tool_servers(); ++i) {
           if (!it.cluster.Audit(it.cluster.tool_server(i)).is_object()) {
             it.cluster.RestartToolServer(i);
           }
         }
       },
       true},
      {"answer_cut",
       [](Scene& it) { FaultTools(it.cluster, "lost_answer", 1); },
       [](Scene& it) { FaultTools(it.cluster, "lost_answer", 0); }},
      {"journal_answers_lost",
       [](Scene& it) {
         it.cluster.InjectFault(it.cluster.kv(), "lost_answer", kAnswersLost);
       },
       [](Scene& it) {
         it.cluster.InjectFault(it.cluster.kv(), "lost_answer", 0);
       }},
      {"service_out",
       [](Scene& it) { it.cluster.InjectFault(it.cluster.kv(), "out", -1); },
       [](Scene& it) { it.cluster.InjectFault(it.cluster.kv(), "out", 0); }},
  };
}

}  // namespace

const std::vector<Failure>& AllFailures() {
  static const auto* const failures = new std::vector<Failure>(MakeFailures());
  return *failures;
}

const Failure& FailureNamed(const std::string& name) {
  const auto& all = AllFailures();
  const auto it = std::find_if(
      all.begin(), all.end(), [&](const Failure& f) { return f.name == name; });
  if (it == all.end()) {
    throw std::out_of_range("no failure is named " + name);
  }
  return *it;
}

void HangTools(Cluster& cluster, int count, std::chrono::milliseconds delay) {
  for (int i = 0; i < cluster.tool_servers(); ++i) {
    cluster.InjectFault(cluster.tool_server(i), "hang", count, delay);
  }
}

}  // namespace comfreyfold::process
