#include "Common/Invariant.h"

#include <cstdlib>
#include <string>

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/logger.h>

namespace auburnroute::common {

void invariantFailed(const char *description, const char *file, int line) {
  // Without an appender log4cxx would discard the message.
  if (log4cxx::Logger::getRootLogger()->getAllAppenders().empty())
    log4cxx::BasicConfigurator::configure();
  const auto logger = log4cxx::Logger::getLogger("auburnroute.invariant");
  const auto text = std::string("broken invariant: ") + description + " (" +
                    file + ":" + std::to_string(line) + ")";
  LOG4CXX_FATAL(logger, text);
  std::abort();
}

} // namespace auburnroute::common
