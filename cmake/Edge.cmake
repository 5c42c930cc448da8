# The edge daemon and its libraries. They share some sources with auburnrouted
# but do not link its large dependencies: an edge host has 0.04 of a core and
# 80 MB of memory.
function(add_edge_layer name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/Source/${name}/*.cpp)
  add_library(${name} STATIC ${sources})
  target_link_libraries(${name} PUBLIC project_options ${ARGN})
endfunction()

# Links Abseil statically: loading 49 shared libraries takes 4 ms of CPU time at
# each start, which is 80 ms on a host with 0.055 of a core.
get_property(imported DIRECTORY ${CMAKE_SOURCE_DIR} PROPERTY IMPORTED_TARGETS)
foreach(target ${imported})
  if(NOT target MATCHES "^absl::")
    continue()
  endif()
  get_target_property(configurations ${target} IMPORTED_CONFIGURATIONS)
  foreach(configuration ${configurations})
    get_target_property(file ${target} IMPORTED_LOCATION_${configuration})
    string(REGEX REPLACE "\\.so.*" ".a" archive "${file}")
    if(file AND EXISTS ${archive})
      set_target_properties(${target} PROPERTIES
        IMPORTED_LOCATION_${configuration} ${archive})
    endif()
  endforeach()
endforeach()

set(edge_base_sources
  ${CMAKE_SOURCE_DIR}/Source/State/JsonReader.cpp
  ${CMAKE_SOURCE_DIR}/Source/State/ObjectReader.cpp
  ${CMAKE_SOURCE_DIR}/Source/State/ValueReader.cpp
  ${CMAKE_SOURCE_DIR}/Source/State/BurnReportCodec.cpp
  ${CMAKE_SOURCE_DIR}/Source/State/FlowOutcomeHistory.cpp
  ${CMAKE_SOURCE_DIR}/Source/State/Cause.cpp
  ${CMAKE_SOURCE_DIR}/Source/State/CauseCodec.cpp
  ${CMAKE_SOURCE_DIR}/Source/State/CauseStore.cpp
  ${CMAKE_SOURCE_DIR}/Source/State/EdgeSettings.cpp
  ${CMAKE_SOURCE_DIR}/Source/State/ErrorList.cpp
  ${CMAKE_SOURCE_DIR}/Source/State/JsonNode.cpp
  ${CMAKE_SOURCE_DIR}/Source/State/ValueDescriptor.cpp
  ${CMAKE_SOURCE_DIR}/Source/Common/BootClock.cpp
  ${CMAKE_SOURCE_DIR}/Source/Common/Endpoint.cpp
  ${CMAKE_SOURCE_DIR}/Source/Common/Files.cpp
  ${CMAKE_SOURCE_DIR}/Source/Transport/UdpSocket.cpp)
add_library(EdgeBase STATIC ${edge_base_sources})
target_link_libraries(EdgeBase PUBLIC project_options absl::status
  absl::statusor absl::strings absl::flat_hash_map
  absl::hash)

add_library(FleetGenerated STATIC
  ${CMAKE_SOURCE_DIR}/Source/Fleet/Generated/Fleet.pb.cc)
target_include_directories(FleetGenerated SYSTEM PUBLIC
  ${CMAKE_SOURCE_DIR}/Source/Fleet/Generated)
# Linked statically to save start-up time, as Abseil above.
target_link_libraries(FleetGenerated PUBLIC libprotobuf-lite.a)

add_edge_layer(Routing EdgeBase PkgConfig::XXHASH)
target_compile_definitions(Routing PRIVATE XXH_INLINE_ALL)
add_edge_layer(Fleet Routing FleetGenerated)
target_compile_definitions(Fleet PRIVATE XXH_INLINE_ALL)
add_edge_layer(platform Fleet)
add_edge_layer(Reactor EdgeBase)
add_edge_layer(Edge Reactor platform spdlog::spdlog_header_only)
target_compile_definitions(Edge PRIVATE FMT_HEADER_ONLY)

add_executable(auburnedge Source/Programs/auburnedge.cpp)
target_link_libraries(auburnedge PRIVATE Edge absl::flags absl::flags_parse
  absl::flags_usage)
target_link_options(auburnedge PRIVATE -static-libstdc++ -static-libgcc
  -Wl,--as-needed)
target_compile_definitions(auburnedge PRIVATE
  AUBURN_VERSION="${PROJECT_VERSION}")
