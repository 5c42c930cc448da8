#define BOOST_TEST_MODULE auburnroute
#include <boost/test/unit_test.hpp>
