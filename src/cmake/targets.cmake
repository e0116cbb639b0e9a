# Functions that define each kind of target. Sources are found by glob pattern,
# so that a new file needs no change to the build files.
if(NOT CW_GATEWAY_ONLY)
  include(Catch)
endif()

# Sets aResult to the sources in a directory, without its tests.
function(cw_sources aResult aFolder)
  file(GLOB found CONFIGURE_DEPENDS "${aFolder}/*.cpp")
  list(FILTER found EXCLUDE REGEX "_test\\.cpp$")
  set(${aResult} ${found} PARENT_SCOPE)
endfunction()

# Adds a program from the sources in one directory. main.cpp contains main();
# the other sources become a library that tests can link.
function(cw_program aName aFolder)
  cw_sources(sources ${aFolder})
  list(FILTER sources EXCLUDE REGEX "/main\\.cpp$")
  add_executable(${aName} ${aFolder}/main.cpp)
  if(sources)
    add_library(${aName}_objects STATIC ${sources})
    target_include_directories(${aName}_objects PUBLIC ${CMAKE_SOURCE_DIR}/src)
    target_link_libraries(${aName}_objects PUBLIC ${ARGN})
    target_link_libraries(${aName} PRIVATE ${aName}_objects)
  endif()
  target_include_directories(${aName} PRIVATE ${CMAKE_SOURCE_DIR}/src)
  target_link_libraries(${aName} PRIVATE ${ARGN})
endfunction()

# Adds a test program from the *_test.cpp files in a directory, if any. ARGN
# lists the libraries to link.
function(cw_tests aName aFolder)
  if(CW_GATEWAY_ONLY)
    return()
  endif()
  file(GLOB tests CONFIGURE_DEPENDS "${aFolder}/*_test.cpp")
  if(NOT tests)
    return()
  endif()
  add_executable(${aName} ${tests})
  target_include_directories(${aName} PRIVATE ${CMAKE_SOURCE_DIR}/src)
  target_link_libraries(${aName} PRIVATE ${ARGN} cw_test_main Catch2::Catch2)
  catch_discover_tests(${aName} TEST_PREFIX "${aName}: ")
endfunction()
