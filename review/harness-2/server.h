#ifndef REVIEW_HARNESS_2_SERVER_H_
#define REVIEW_HARNESS_2_SERVER_H_

namespace comfreyfold::review {

// Runs the stand-in for one backend server: plain calls, and streams on paths
// with "/stream/". Each event's data names the software version, the server
// and the number of the event. Prints {"listening":"ip:port"}.
int RunServer(int argc, char** argv);

}  // namespace comfreyfold::review

#endif  // REVIEW_HARNESS_2_SERVER_H_
