# daisyroad_module(NAME SOURCES a.cc b.cc DEPENDS other_module ... LIBRARIES target ...)
# declares the static library daisyroad_NAME.
function(daisyroad_module name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;LIBRARIES" ${ARGN})
  add_library(daisyroad_${name} STATIC ${ARG_SOURCES})
  target_include_directories(daisyroad_${name} PUBLIC ${PROJECT_SOURCE_DIR}/Source)
  foreach(dependency ${ARG_DEPENDS})
    target_link_libraries(daisyroad_${name} PUBLIC daisyroad_${dependency})
  endforeach()
  target_link_libraries(daisyroad_${name} PUBLIC ${ARG_LIBRARIES})
endfunction()

# daisyroad_test(NAME SOURCES a_test.cc DEPENDS module ...) declares the Catch2
# program test_NAME and registers it with CTest under NAME.
function(daisyroad_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;LIBRARIES" ${ARGN})
  add_executable(test_${name} ${ARG_SOURCES})
  target_link_libraries(test_${name} PRIVATE daisyroad_test_main ${ARG_LIBRARIES})
  foreach(dependency ${ARG_DEPENDS})
    target_link_libraries(test_${name} PRIVATE daisyroad_${dependency})
  endforeach()
  add_test(NAME ${name} COMMAND test_${name})
endfunction()
