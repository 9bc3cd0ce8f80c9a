# Functions that define the libraries, programs and tests.

set(DANDELION_WARNINGS -Wall -Wextra -Wpedantic -Wshadow -Wno-missing-field-initializers)
# Off by default, since other compilers may give warnings that the project's compilers do not.
option(DANDELION_WERROR "Treat warnings as errors" OFF)
if(DANDELION_WERROR)
  list(APPEND DANDELION_WARNINGS -Werror)
endif()

# dandelion_library(<folder name> SOURCES ... LINK ...)
function(dandelion_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
  add_library(dandelion_${name} STATIC ${ARG_SOURCES})
  target_include_directories(dandelion_${name} PUBLIC
    $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/src> $<INSTALL_INTERFACE:include>)
  target_compile_options(dandelion_${name} PRIVATE ${DANDELION_WARNINGS})
  target_link_libraries(dandelion_${name} PUBLIC ${ARG_LINK})
endfunction()

# dandelion_program(<binary name> SOURCES ... LINK ...)
function(dandelion_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_compile_options(${name} PRIVATE ${DANDELION_WARNINGS})
  target_link_libraries(${name} PRIVATE ${ARG_LINK})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
endfunction()

# dandelion_test(<library name> SOURCES ... LINK ...): defines the test program of a library.
function(dandelion_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
  add_executable(${name}_tests ${ARG_SOURCES})
  target_compile_options(${name}_tests PRIVATE ${DANDELION_WARNINGS})
  target_compile_definitions(${name}_tests PRIVATE
    DANDELION_GOLDEN_DIR="${PROJECT_SOURCE_DIR}/tests/golden")
  target_link_libraries(${name}_tests PRIVATE catch_main ${ARG_LINK})
  set_target_properties(${name}_tests PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
  add_test(NAME ${name} COMMAND ${name}_tests)
endfunction()
