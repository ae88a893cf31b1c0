# Build rules, one per kind of target. The directories of all packages use these
# rules; no other place calls add_library or add_executable.
#
#   carobshift_library(NAME base_result HDRS result.h SRCS result.cc
#                      DEPS base_ids VISIBILITY public)
#   carobshift_test(NAME result_test SRCS result_test.cc DEPS base_result)
#   carobshift_benchmark(NAME x_benchmark SRCS x_benchmark.cc DEPS x)
#   carobshift_binary(NAME carobshiftd SRCS main.cc DEPS server)
#
# VISIBILITY is "public" (any package may depend on the target) or "package"
# (only targets in the same directory or below may).
include(CMakeParseArguments)

function(_carobshift_check_deps target)
  foreach(dep ${ARGN})
    if(NOT TARGET ${dep})
      continue()
    endif()
    get_target_property(type ${dep} TYPE)
    get_target_property(visibility ${dep} CAROBSHIFT_VISIBILITY)
    if(visibility STREQUAL "package")
      get_target_property(dir ${dep} CAROBSHIFT_DIR)
      string(FIND "${CMAKE_CURRENT_SOURCE_DIR}" "${dir}" at)
      if(NOT at EQUAL 0)
        message(FATAL_ERROR "${target}: ${dep} is visible in ${dir} only")
      endif()
    endif()
  endforeach()
endfunction()

function(carobshift_library)
  cmake_parse_arguments(A "" "NAME;VISIBILITY" "HDRS;SRCS;DEPS" ${ARGN})
  if(A_SRCS)
    add_library(${A_NAME} STATIC ${A_SRCS} ${A_HDRS})
    target_link_libraries(${A_NAME} PUBLIC ${A_DEPS} carobshift_options)
  else()
    add_library(${A_NAME} INTERFACE)
    target_link_libraries(${A_NAME} INTERFACE ${A_DEPS} carobshift_options)
  endif()
  set_target_properties(${A_NAME} PROPERTIES
    CAROBSHIFT_VISIBILITY "${A_VISIBILITY}"
    CAROBSHIFT_DIR "${CMAKE_CURRENT_SOURCE_DIR}")
  _carobshift_check_deps(${A_NAME} ${A_DEPS})
endfunction()

function(carobshift_binary)
  cmake_parse_arguments(A "" "NAME" "SRCS;DEPS" ${ARGN})
  add_executable(${A_NAME} ${A_SRCS})
  target_link_libraries(${A_NAME} PRIVATE ${A_DEPS} carobshift_options)
  set_target_properties(${A_NAME} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY "${CMAKE_BINARY_DIR}/bin")
  _carobshift_check_deps(${A_NAME} ${A_DEPS})
endfunction()

# LABEL is unit (default), fuzz, process, golden or threads (unit tests that
# also run under the thread sanitizer). scripts/check.sh selects tests by label,
# and the target tests_LABEL builds all tests of one label. PROPERTIES are
# passed to ctest (TIMEOUT, ENVIRONMENT, ...).
function(carobshift_test)
  if(NOT BUILD_TESTING)
    return()
  endif()
  cmake_parse_arguments(A "" "NAME;LABEL" "SRCS;DEPS;DEFINES;PROPERTIES"
    ${ARGN})
  if(NOT A_LABEL)
    set(A_LABEL unit)
  endif()
  add_executable(${A_NAME} ${A_SRCS})
  target_link_libraries(${A_NAME} PRIVATE ${A_DEPS} catch_main
    carobshift_options)
  target_compile_definitions(${A_NAME} PRIVATE ${A_DEFINES})
  set_target_properties(${A_NAME} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY "${CMAKE_BINARY_DIR}/tests")
  _carobshift_check_deps(${A_NAME} ${A_DEPS})
  if(NOT TARGET tests_${A_LABEL})
    add_custom_target(tests_${A_LABEL})
  endif()
  add_dependencies(tests_${A_LABEL} ${A_NAME})
  catch_discover_tests(${A_NAME} TEST_PREFIX "${A_NAME}: "
    PROPERTIES LABELS ${A_LABEL} TIMEOUT 300 ${A_PROPERTIES})
endfunction()

function(carobshift_benchmark)
  if(NOT BUILD_TESTING)
    return()
  endif()
  cmake_parse_arguments(A "" "NAME" "SRCS;DEPS" ${ARGN})
  add_executable(${A_NAME} ${A_SRCS})
  target_link_libraries(${A_NAME} PRIVATE ${A_DEPS} benchmark::benchmark
    carobshift_options)
  set_target_properties(${A_NAME} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY "${CMAKE_BINARY_DIR}/benchmarks")
endfunction()
