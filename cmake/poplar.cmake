# poplar_library(NAME SOURCES... LINK targets...)
function(poplar_library name)
  cmake_parse_arguments(arg "" "" "SOURCES;LINK" ${ARGN})
  add_library(poplar_${name} STATIC ${arg_SOURCES})
  target_link_libraries(poplar_${name} PUBLIC ${arg_LINK} Threads::Threads)
endfunction()

# poplar_program(NAME SOURCES... LINK targets...): one binary in build/bin.
function(poplar_program name)
  cmake_parse_arguments(arg "" "" "SOURCES;LINK" ${ARGN})
  add_executable(${name} ${arg_SOURCES})
  target_link_libraries(${name} PRIVATE ${arg_LINK} Threads::Threads)
  set_target_properties(
    ${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# poplar_test(NAME SOURCES... LINK targets... TIMEOUT seconds RUN_SERIAL): one
# GoogleTest binary, run by ctest as a whole. RapidCheck's seed is fixed so that the
# verdict is the same in every run; RC_PARAMS gives others.
function(poplar_test name)
  if(POPLAR_ONLY_GATEWAY)
    return()
  endif()
  cmake_parse_arguments(arg "RUN_SERIAL" "TIMEOUT" "SOURCES;LINK" ${ARGN})
  if(NOT arg_TIMEOUT)
    set(arg_TIMEOUT 120)
  endif()
  add_executable(${name} ${arg_SOURCES})
  target_link_libraries(
    ${name} PRIVATE ${arg_LINK} rapidcheck GTest::gtest GTest::gtest_main
                    Threads::Threads)
  set_target_properties(
    ${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/tests)
  add_test(NAME ${name} COMMAND ${name})
  set(rc "seed=20261204 max_success=1000")
  set_tests_properties(
    ${name} PROPERTIES TIMEOUT ${arg_TIMEOUT} ENVIRONMENT
                       "POPLAR_BIN=${CMAKE_BINARY_DIR}/bin;RC_PARAMS=${rc}"
                       RUN_SERIAL ${arg_RUN_SERIAL})
endfunction()
