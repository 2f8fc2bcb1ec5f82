#ifndef REVIEW_HARNESS_2_VERSIONS_CASE_H_
#define REVIEW_HARNESS_2_VERSIONS_CASE_H_

#include <string>

namespace comfreyfold::review {

// Servers start again under their ids with another software version and crash
// soon after, while clients take up the streams that break off. Returns 1 if
// more than two streams hold events of two versions, 0 if not, 2 if the case
// could not run.
int RunVersionsCase(const std::string& record_path);

}  // namespace comfreyfold::review

#endif  // REVIEW_HARNESS_2_VERSIONS_CASE_H_
