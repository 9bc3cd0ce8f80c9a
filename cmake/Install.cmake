# Installs the programs, and the configuration library with its headers and a CMake package for
# find_package(dandelionstand).
include(CMakePackageConfigHelpers)
include(GNUInstallDirs)

set(DANDELION_PACKAGE_DIR ${CMAKE_INSTALL_LIBDIR}/cmake/dandelionstand)

install(TARGETS dandelion-daemon dandelionctl RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})

set_target_properties(dandelion_configuration PROPERTIES EXPORT_NAME configuration)
install(TARGETS dandelion_configuration dandelion_config dandelion_config_wire dandelion_common
  EXPORT dandelionstand-targets
  ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
install(EXPORT dandelionstand-targets
  NAMESPACE dandelionstand::
  DESTINATION ${DANDELION_PACKAGE_DIR})

set(DANDELION_PUBLIC_HEADERS
  common/Findings.h common/Ids.h common/StrongId.h common/Time.h
  config/ConfigState.h config/Resources.h
  operators/Configuration.h operators/ExitStatus.h operators/Promise.h)
foreach(header ${DANDELION_PUBLIC_HEADERS})
  get_filename_component(folder ${header} DIRECTORY)
  install(FILES src/dandelionstand/${header}
    DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/dandelionstand/${folder})
endforeach()

configure_package_config_file(cmake/dandelionstand-config.cmake.in
  ${PROJECT_BINARY_DIR}/dandelionstand-config.cmake
  INSTALL_DESTINATION ${DANDELION_PACKAGE_DIR})
write_basic_package_version_file(${PROJECT_BINARY_DIR}/dandelionstand-config-version.cmake
  COMPATIBILITY SameMinorVersion)
install(FILES
  ${PROJECT_BINARY_DIR}/dandelionstand-config.cmake
  ${PROJECT_BINARY_DIR}/dandelionstand-config-version.cmake
  DESTINATION ${DANDELION_PACKAGE_DIR})
