#ifndef REVIEW_HARNESS_2_REPLACEMENT_CASE_H_
#define REVIEW_HARNESS_2_REPLACEMENT_CASE_H_

#include <string>

namespace comfreyfold::review {

// A storage machine is replaced as planned, and some time later another loses
// its disk while all others lose power (TROUBLE=kept: power alone). Returns 1
// if turns that were answered whole can't be continued though first turns are
// served, 0 if all can, 2 if the case could not run.
int RunReplacementCase(const std::string& record_path);

}  // namespace comfreyfold::review

#endif  // REVIEW_HARNESS_2_REPLACEMENT_CASE_H_
