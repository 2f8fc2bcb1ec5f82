#define BOOST_TEST_MODULE decisions
#include <boost/test/unit_test.hpp>
