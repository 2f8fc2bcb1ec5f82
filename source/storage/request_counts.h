#ifndef STORAGE_REQUEST_COUNTS_H_
#define STORAGE_REQUEST_COUNTS_H_

#include "wire/storage_messages.h"

namespace comfreyfold {

// Requests that a storage daemon received, by purpose.
struct RequestCounts {
  void Add(const StorageRequest& request);

  int turns = 0;         // Stores of turns.
  int reservations = 0;  // Stores of token uses that are to be answered.
  int settlements = 0;   // Other stores of token uses.
  int chains = 0;
  int uses = 0;
  int probes = 0;
  int copies = 0;     // Requests of disks that copy, and storage lists.
  int abandoned = 0;  // Not handled because the sender had gone.
};

}  // namespace comfreyfold

#endif  // STORAGE_REQUEST_COUNTS_H_
