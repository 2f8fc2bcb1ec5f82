#include "vm/received_answers.h"

#include <sstream>

#include <boost/test/unit_test.hpp>

namespace comfreyfold {

namespace {

std::string Event(int n) {
  return "id: " + std::to_string(n) + "\ndata: event-" + std::to_string(n) +
         "\n\n";
}

bool IsStream(const std::string& path) {
  return path.find("/stream/") != std::string::npos;
}

}  // namespace

std::string Events(int first, int last) {
  std::string out;
  for (int n = first; n <= last; ++n) {
    out += Event(n);
  }
  return out;
}

std::string Chunk(const std::string& bytes) {
  std::ostringstream out;
  out << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
  return out.str();
}

std::string ChunkedHead(const std::string& id) {
  return SignedHead(id,
                    "Content-Type: text/event-stream\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n");
}

std::string WholeStream(const std::string& id, int first) {
  return ChunkedHead(id) + Chunk(Events(first, kEvents)) + "0\r\n\r\n";
}

std::string RefusalWithoutId(const std::string& headers) {
  return "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n" + headers +
         "Content-Length: 0\r\n\r\n";
}

std::string CompleteAnswer(const std::string& path, const std::string& id) {
  return IsStream(path) ? WholeStream(id, 1) : Answer(id, "answer to " + id);
}

Received Receive(Fiber& fiber,
                 VmDeployment& deployment,
                 const VmDeployment::Vm& front,
                 const std::string& path,
                 const std::string& id,
                 std::vector<HttpHeader> headers) {
  Received out;
  headers.push_back({"Host", "shop"});
  headers.push_back({"Request-Id", id});
  headers.push_back({"Request-Deadline-Ms", "3000"});
  HttpOptions options;
  options.fresh_connection = true;
  options.on_head = [&out](const HttpReply& reply) {
    out.status = reply.status;
    return ReplyAction::kAccept;
  };
  options.on_data = [&out](std::string_view data) { out.body += data; };
  try {
    // The body differs for each request, so that failures of one do not
    // quarantine the others.
    const auto reply =
        deployment.http().Send(fiber, front.settings.client_address,
                               {"POST", path, headers, id}, options);
    out.complete = true;
    out.body += reply.body;
  } catch (const HttpFailure&) {
    out.complete = false;
  }
  return out;
}

void Probe(Fiber& fiber,
           VmDeployment& deployment,
           const VmDeployment::Vm& front) {
  BOOST_REQUIRE(deployment.WaitFor(fiber, [&] {
    return deployment.Send(fiber, front, {"/plain/x", "probe", "", {}})
               .status == 200;
  }));
}

}  // namespace comfreyfold
