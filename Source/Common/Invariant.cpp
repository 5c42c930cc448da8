#include "Common/Invariant.h"

#include <log4cxx/logger.h>

#include <cstdlib>

namespace auburnroute::common {

void invariantFailed(const char *text, const char *file, int line) {
  LOG4CXX_FATAL(log4cxx::Logger::getLogger("auburnroute.invariant"),
                file << ":" << line << ": invariant broken: " << text);
  std::abort();
}

} // namespace auburnroute::common
