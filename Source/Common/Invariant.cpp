#include "Common/Invariant.h"

#include <cstdlib>
#include <string>

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/logger.h>

namespace auburnroute::common {

void invariantFailed(const char *what, const char *file, int line) {
  // A program that has not configured logging yet must still show the reason.
  if (log4cxx::Logger::getRootLogger()->getAllAppenders().empty())
    log4cxx::BasicConfigurator::configure();
  const auto logger = log4cxx::Logger::getLogger("auburnroute.invariant");
  const auto text = std::string("broken invariant: ") + what + " (" + file +
                    ":" + std::to_string(line) + ")";
  LOG4CXX_FATAL(logger, text);
  std::abort();
}

} // namespace auburnroute::common
