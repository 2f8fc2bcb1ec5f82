#define BOOST_TEST_MODULE unit
#include <boost/test/unit_test.hpp>
