# The libraries come from Debian; scripts/install_dependencies.sh lists the packages.
find_package(PkgConfig REQUIRED)
find_package(Threads REQUIRED)
find_package(Protobuf REQUIRED)
find_package(Boost REQUIRED COMPONENTS program_options)
if(DANDELION_TESTS)
  find_package(Catch2 2 REQUIRED)
endif()
find_package(nlohmann_json REQUIRED)
pkg_check_modules(SIGCXX REQUIRED IMPORTED_TARGET sigc++-2.0)
pkg_check_modules(LIBEVENT REQUIRED IMPORTED_TARGET libevent)
pkg_check_modules(ZMQ REQUIRED IMPORTED_TARGET libzmq)
pkg_check_modules(LOG4CPLUS REQUIRED IMPORTED_TARGET log4cplus)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
pkg_check_modules(ZSTD REQUIRED IMPORTED_TARGET libzstd)
pkg_check_modules(SODIUM REQUIRED IMPORTED_TARGET libsodium)

# http_parser provides neither a pkg-config file nor a CMake package.
find_path(HTTP_PARSER_INCLUDE_DIR http_parser.h REQUIRED)
find_library(HTTP_PARSER_LIBRARY http_parser REQUIRED)
add_library(http_parser UNKNOWN IMPORTED)
set_target_properties(http_parser PROPERTIES
  IMPORTED_LOCATION ${HTTP_PARSER_LIBRARY}
  INTERFACE_INCLUDE_DIRECTORIES ${HTTP_PARSER_INCLUDE_DIR})
