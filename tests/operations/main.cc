#define BOOST_TEST_MODULE operations
#include <boost/test/unit_test.hpp>
