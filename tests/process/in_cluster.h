#ifndef PROCESS_IN_CLUSTER_H_
#define PROCESS_IN_CLUSTER_H_

#include <functional>

#include "harness/caller.h"
#include "harness/cluster.h"

namespace comfreyfold::process {

// Daemons that wait long for the key-value service: an answer that a test
// holds back, or that finds its daemon frozen, does not run into a timeout.
harness::ClusterOptions PatientDaemons();

// Runs `body` against a cluster that is ready and has both contracts.
// An exception that leaves `body` leaves this function too.
void InCluster(const harness::ClusterOptions& options,
               const std::function<void(Fiber&, harness::Cluster&)>& body);

}  // namespace comfreyfold::process

#endif  // PROCESS_IN_CLUSTER_H_
