#ifndef VM_RECEIVED_ANSWERS_H_
#define VM_RECEIVED_ANSWERS_H_

#include <string>
#include <vector>

#include "vm/raw_answers.h"

namespace comfreyfold {

// Number of events of a whole stream.
constexpr int kEvents = 4;

std::string Events(int first, int last);
std::string Chunk(const std::string& bytes);
// The head of a stream in chunks.
std::string ChunkedHead(const std::string& id);
// A stream from the event `first`.
std::string WholeStream(const std::string& id, int first);
// The whole answer to a request for `path`.
std::string CompleteAnswer(const std::string& path, const std::string& id);
std::string RefusalWithoutId(const std::string& headers = {});

// What a client received, also if it is incomplete.
struct Received {
  int status = 0;  // 0: not even the head of an answer.
  bool complete = false;
  std::string body;
};

Received Receive(Fiber& fiber,
                 VmDeployment& deployment,
                 const VmDeployment::Vm& front,
                 const std::string& path,
                 const std::string& id,
                 std::vector<HttpHeader> headers = {});

// Waits until the server is tried again after a failure, and leaves a used
// connection to it.
void Probe(Fiber& fiber,
           VmDeployment& deployment,
           const VmDeployment::Vm& front);

}  // namespace comfreyfold

#endif  // VM_RECEIVED_ANSWERS_H_
