# Helpers that give each kind of target its sources and libraries. Sources are
# found by pattern, so that a new file needs no change of the build.
if(NOT CW_GATEWAY_ONLY)
  include(Catch)
endif()

# Lists a folder's sources without its tests.
function(cw_sources aResult aFolder)
  file(GLOB found CONFIGURE_DEPENDS "${aFolder}/*.cpp")
  list(FILTER found EXCLUDE REGEX "_test\\.cpp$")
  set(${aResult} ${found} PARENT_SCOPE)
endfunction()

# A program from one folder. A main.cpp holds main(); the rest becomes a
# library, so that tests can link it.
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

# A test program from a folder's *_test.cpp files.
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
