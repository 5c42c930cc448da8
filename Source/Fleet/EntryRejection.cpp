#include "Fleet/EntryRejection.h"

namespace auburnroute::fleet {

std::string_view toString(EntryRejection why) {
  switch (why) {
  case EntryRejection::Key:
    return "key";
  case EntryRejection::Encoding:
    return "encoding";
  case EntryRejection::TooLong:
    return "too_long";
  case EntryRejection::Syntax:
    return "syntax";
  case EntryRejection::Field:
    return "field";
  case EntryRejection::NoRoom:
    return "no_room";
  }
  return "invalid";
}

} // namespace auburnroute::fleet
