#include "core/placement.h"

#include <set>

#include <boost/test/unit_test.hpp>

#include "core/contract.h"

namespace comfreyfold {
namespace {

const std::vector<std::string> kEngines{"e0", "e1", "e2", "e3"};

BOOST_AUTO_TEST_SUITE(placement)

BOOST_AUTO_TEST_CASE(placement_is_missing_at_as_many_engines_as_copies) {
  const Placement wanted{PlacementKind::kModel, "quote", 2, 3};
  std::size_t missing = 0;
  for (const auto& it : kEngines) {
    missing += MissingPlacements(it, kEngines, {wanted}, {}).size();
  }
  BOOST_TEST(missing == 3);
}

BOOST_AUTO_TEST_CASE(placement_is_missing_unless_its_version_is_loaded) {
  const Placement wanted{PlacementKind::kAdapter, "tender", 2, 4};
  EngineState state;
  state.adapters["tender"] = 1;
  BOOST_TEST(MissingPlacements("e0", kEngines, {wanted}, state).size() == 1);
  state.adapters["tender"] = 2;
  BOOST_TEST(MissingPlacements("e0", kEngines, {wanted}, state).empty());
}

BOOST_AUTO_TEST_CASE(faults_are_reported_with_their_lines) {
  const std::string text = "[placement]\nkind = disk\nname = a b\ncopys = 2\n";
  try {
    ParsePlacement(text, "p.ini");
    BOOST_FAIL("accepted");
  } catch (const IniError& e) {
    // The missing version is reported at its section; the others are the kind,
    // the name and the unknown key.
    std::multiset<int> lines;
    for (const auto& it : e.faults()) {
      lines.insert(it.line);
    }
    const std::multiset<int> expected{1, 2, 3, 4};
    BOOST_TEST((lines == expected));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
