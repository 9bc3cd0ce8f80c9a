# The libraries and the fuzz targets, instrumented. The usual build checks warnings.
set(DANDELION_WARNINGS "")
add_compile_options(-fsanitize=fuzzer-no-link,address)
add_link_options(-fsanitize=address)
add_subdirectory(src/dandelionstand)
add_subdirectory(tests/fuzz)
