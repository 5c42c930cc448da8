#include "State/SettingsReference.h"

#include "SettingsSamples.h"

#include <boost/test/unit_test.hpp>

using namespace auburnroute::state;

BOOST_AUTO_TEST_SUITE(SettingsReferenceTest)

// Guards against a reference page that does not match the descriptors; the
// message holds the table to put there.
BOOST_AUTO_TEST_CASE(PageMatchesTheDescriptors) {
  const auto page = readSource("docs/settings.md");
  std::size_t rows = 0;
  for (const auto &it : settingsReference()) {
    BOOST_TEST((page.find(it) != std::string::npos), it);
    rows += static_cast<std::size_t>(std::count(it.begin(), it.end(), '\n'));
  }
  // Each table has two lines of heading, a blank line and a line of dashes.
  rows -= settingsReference().size() * 4;
  std::size_t onPage = 0;
  for (auto at = page.find("\n| `"); at != std::string::npos;
       at = page.find("\n| `", at + 1))
    ++onPage;
  BOOST_TEST(onPage == rows);
}

BOOST_AUTO_TEST_SUITE_END()
