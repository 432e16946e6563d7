# Defines a module: a static library of every .cc file in cornelweir/src/<name>, which may use the
# modules and libraries named after DEPENDS.
function(cornelweir_module name)
  cmake_parse_arguments(arg "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/${name}/*.cc)
  if(sources)
    add_library(cornelweir_${name} STATIC ${sources})
    set(scope PUBLIC)
  else()
    add_library(cornelweir_${name} INTERFACE)
    set(scope INTERFACE)
  endif()
  target_include_directories(cornelweir_${name} ${scope} ${PROJECT_SOURCE_DIR})
  target_link_libraries(cornelweir_${name} ${scope} ${arg_DEPENDS} Boost::headers)
endfunction()

# Defines a plug-in: an object library, so that its registration is always linked.
function(cornelweir_plugin name)
  cmake_parse_arguments(arg "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${name}/*.cc)
  add_library(cornelweir_plugin_${name} OBJECT ${sources})
  target_include_directories(cornelweir_plugin_${name} PUBLIC ${PROJECT_SOURCE_DIR})
  target_link_libraries(cornelweir_plugin_${name} PUBLIC ${arg_DEPENDS})
endfunction()

# Defines a test program tests/<name>_test.cc. RapidCheck runs with constant parameters, by default
# one seed and 100 cases a property; RC_PARAMS replaces them. Run the program by hand with RC_PARAMS
# in the environment for other seeds and longer runs.
function(cornelweir_test name)
  cmake_parse_arguments(arg "" "RC_PARAMS" "DEPENDS" ${ARGN})
  if(NOT arg_RC_PARAMS)
    set(arg_RC_PARAMS "seed=20261204")
  endif()
  add_executable(${name}_test ${CMAKE_CURRENT_SOURCE_DIR}/${name}_test.cc)
  target_include_directories(${name}_test PRIVATE ${PROJECT_SOURCE_DIR})
  target_link_libraries(${name}_test PRIVATE ${arg_DEPENDS} GTest::gtest GTest::gtest_main
    ${RAPIDCHECK_LIBRARY} Threads::Threads)
  add_test(NAME ${name} COMMAND ${name}_test)
  set_tests_properties(${name} PROPERTIES TIMEOUT 300 ENVIRONMENT "RC_PARAMS=${arg_RC_PARAMS}")
endfunction()
