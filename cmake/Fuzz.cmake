# Fuzz targets for parsers of external input. With AUBURN_FUZZ, libFuzzer
# searches for new inputs; otherwise the targets replay the stored corpus.
foreach(name GossipFuzz PacketFuzz SettingsFuzz StoreFuzz)
  set(folder ${CMAKE_SOURCE_DIR}/Source/UnitTests/Fuzz)
  add_executable(${name} ${folder}/${name}.cpp ${folder}/FuzzTarget.cpp)
  target_link_libraries(${name} PRIVATE platform)
  if(AUBURN_FUZZ)
    target_link_options(${name} PRIVATE -fsanitize=fuzzer)
  else()
    target_sources(${name} PRIVATE ${folder}/ReplayMain.cpp)
    add_test(NAME Fuzz.${name} COMMAND ${name} ${folder}/Corpus/${name})
  endif()
endforeach()
