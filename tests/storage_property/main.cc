#define BOOST_TEST_MODULE storage_property
#include <boost/test/unit_test.hpp>
