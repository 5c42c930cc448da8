#include "Common/Invariant.h"

#include <cstdlib>
#include <string>

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/logger.h>

namespace auburnroute::common {

void invariantFailed(const char *what, const std::source_location &where) {
  // A program that has not configured logging yet must still show the reason.
  if (log4cxx::Logger::getRootLogger()->getAllAppenders().empty())
    log4cxx::BasicConfigurator::configure();
  const auto logger = log4cxx::Logger::getLogger("auburnroute.invariant");
  const auto line = std::string("broken invariant: ") + what + " (" +
                    where.file_name() + ":" + std::to_string(where.line()) +
                    ")";
  LOG4CXX_FATAL(logger, line);
  std::abort();
}

} // namespace auburnroute::common
