// Answers that break off within their head.

#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "vm/received_answers.h"

namespace comfreyfold {
namespace {

using standins::RawServer;

BOOST_AUTO_TEST_SUITE(foreign_answers)

// An answer that breaks off within its head.
struct CutHead {
  std::string path;
  std::size_t length;
  bool reused;  // The connection has carried a request before.
  bool reset;
};

// Lengths of the part of `answer` that a server sends.
std::vector<std::size_t> CutsOf(const std::string& answer) {
  const auto line = answer.find("\r\n");
  const auto header = answer.find("Response-Signature");
  const auto end = answer.find("\r\n\r\n");
  return {5,                             // Inside the version.
          10,                            // Inside the status.
          line,                          // After the reason.
          line + 2,                      // After the status line.
          header,                        // After a header.
          header + 5,                    // Inside a name.
          answer.find("Content-") + 14,  // At a value.
          end - 1,                       // Inside the last value.
          end + 2};                      // Before the blank line.
}

// All ids have one length, so that the cuts are at the same places.
constexpr std::size_t kFirstCutId = 100;

std::string IdOfCut(std::size_t n) {
  return std::to_string(kFirstCutId + n);
}

std::size_t NumberOfCut(const std::string& id) {
  return std::stoul(id) - kFirstCutId;
}

std::vector<CutHead> CutHeads() {
  std::vector<CutHead> out;
  for (const auto* path :
       {"/plain/x", "/once/x", "/stream/x", "/talk/stream/x"}) {
    for (const auto length : CutsOf(CompleteAnswer(path, IdOfCut(0)))) {
      for (const bool reset : {false, true}) {
        out.push_back({path, length, true, reset});
        out.push_back({path, length, false, reset});
      }
    }
  }
  return out;
}

BOOST_AUTO_TEST_CASE(head_that_breaks_off_is_no_answer) {
  const auto cuts = CutHeads();
  std::vector<int> sent(cuts.size());
  bool keeps = true;
  WithRawServer(
      [&](Fiber&, RawServer::Peer& peer) {
        for (auto head = peer.ReadHead(); !head.empty();
             head = peer.ReadHead()) {
          const auto id = RequestIdOf(head);
          if (id == "probe") {
            peer.Write(Answer(id, ""));
            if (!keeps) {
              return;
            }
            continue;
          }
          const auto n = NumberOfCut(id);
          const auto& cut = cuts[n];
          ++sent[n];
          peer.Write(CompleteAnswer(cut.path, id).substr(0, cut.length));
          if (cut.reset) {
            peer.Reset();
          }
          return;
        }
      },
      [&](Fiber& fiber, VmDeployment& deployment,
          const VmDeployment::Vm& front) {
        for (std::size_t n = 0; n < cuts.size(); ++n) {
          const auto& cut = cuts[n];
          BOOST_TEST_CONTEXT(cut.path << cut.length << cut.reused
                                      << cut.reset) {
            keeps = cut.reused;
            Probe(fiber, deployment, front);
            const auto reply =
                Receive(fiber, deployment, front, cut.path, IdOfCut(n));
            BOOST_TEST(reply.status == 502);
            BOOST_TEST(sent[n] > 0);
          }
        }
      });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
