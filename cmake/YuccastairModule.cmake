# yc_module(NAME DEPENDS...) builds lib/NAME/*.cc into the library yc_NAME.
function(yc_module name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/lib/${name}/*.cc)
  if(NOT sources)
    # A module of headers only.
    add_library(yc_${name} INTERFACE)
    target_include_directories(yc_${name} INTERFACE ${CMAKE_SOURCE_DIR}/include)
    target_link_libraries(yc_${name} INTERFACE ${ARGN})
    return()
  endif()
  add_library(yc_${name} STATIC ${sources})
  target_include_directories(yc_${name}
    PUBLIC ${CMAKE_SOURCE_DIR}/include
    PRIVATE ${CMAKE_SOURCE_DIR}/lib/${name})
  target_compile_options(yc_${name} PRIVATE -Wall -Wextra)
  target_link_libraries(yc_${name} PUBLIC ${ARGN})
endfunction()

# yc_test(NAME DEPENDS...) builds unittests/NAME/*_test.cc into NAME_test, one
# ctest entry for each test file; sets NAME_tests in the caller.
function(yc_test name)
  file(GLOB sources CONFIGURE_DEPENDS
    ${CMAKE_SOURCE_DIR}/unittests/${name}/*.cc)
  foreach(source ${sources})
    get_filename_component(stem ${source} NAME_WE)
    set(test ${name}_${stem})
    add_executable(${test} ${source} $<TARGET_OBJECTS:test_main>)
    target_include_directories(${test} PRIVATE
      ${CMAKE_SOURCE_DIR}/lib/${name} ${CMAKE_SOURCE_DIR}/unittests)
    target_compile_options(${test} PRIVATE -Wall -Wextra)
    target_link_libraries(${test} PRIVATE ${ARGN} Catch2::Catch2)
    add_test(NAME ${test} COMMAND ${test})
    set_tests_properties(${test} PROPERTIES TIMEOUT 120)
    list(APPEND tests ${test})
  endforeach()
  set(${name}_tests ${tests} PARENT_SCOPE)
endfunction()
