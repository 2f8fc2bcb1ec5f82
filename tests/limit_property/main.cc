#define BOOST_TEST_MODULE limit_property
#include <boost/test/unit_test.hpp>
