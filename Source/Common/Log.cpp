#include "Common/Log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace auburnroute::common {

namespace {

log4cxx::LoggerPtr logger() {
  static const auto instance = log4cxx::Logger::getLogger("auburnroute");
  return instance;
}

} // namespace

void initialiseLog() {
  const auto layout = std::make_shared<log4cxx::PatternLayout>(
      LOG4CXX_STR("%d{ISO8601} %-5p %m%n"));
  const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
      layout, log4cxx::ConsoleAppender::getSystemErr());
  log4cxx::BasicConfigurator::configure(appender);
  log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::getInfo());
}

void logLine(LogLevel level, const std::string &text) {
  switch (level) {
  case LogLevel::Info:
    LOG4CXX_INFO(logger(), text);
    return;
  case LogLevel::Warning:
    LOG4CXX_WARN(logger(), text);
    return;
  case LogLevel::Error:
    LOG4CXX_ERROR(logger(), text);
    return;
  }
}

} // namespace auburnroute::common
