#define BOOST_TEST_MODULE vm
#include <boost/test/unit_test.hpp>
