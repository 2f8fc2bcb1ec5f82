#ifndef STORAGE_SEND_COUNTS_H_
#define STORAGE_SEND_COUNTS_H_

namespace comfreyfold {

// Requests that a ReplicaClient sent, by reason.
struct SendCounts {
  int first = 0;    // To the first targets of a call.
  int hedges = 0;   // To a further target after the hedge delay.
  int overdue = 0;  // To a further target because one is overdue.
  int widened = 0;  // To further targets after failures or useless answers.
  int resent = 0;   // Again to a target that was unreachable.
  int relayed = 0;  // Through a relay.
  int probes = 0;
  int failed = 0;  // Without an answer.
};

}  // namespace comfreyfold

#endif  // STORAGE_SEND_COUNTS_H_
