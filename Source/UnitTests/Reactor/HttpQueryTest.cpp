#include "Reactor/HttpQuery.h"

#include <boost/test/unit_test.hpp>

using auburnroute::reactor::numberInQuery;

BOOST_AUTO_TEST_SUITE(HttpQueryTest)

// Guards against keys that match only in part, and against values that are not
// unsigned 64-bit numbers.
BOOST_AUTO_TEST_CASE(OnlyExactKeysWithValidNumbersMatch) {
  BOOST_TEST((numberInQuery("after=7&version=12", "version") == 12U));
  BOOST_TEST((numberInQuery("version=18446744073709551615", "version") ==
              18446744073709551615U));
  for (const auto *query :
       {"", "version", "version=", "version=x", "version=-1", "aversion=1",
        "version=18446744073709551616", "&&="})
    BOOST_TEST(!numberInQuery(query, "version").has_value(), query);
}

BOOST_AUTO_TEST_SUITE_END()
