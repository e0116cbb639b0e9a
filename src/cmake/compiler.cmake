# Language standard, warnings and build type of all targets.
set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)

if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE RelWithDebInfo CACHE STRING "" FORCE)
endif()
# Line tables suffice for stack traces and keep the build small.
set(CMAKE_CXX_FLAGS_RELWITHDEBINFO "-O2 -g1")

# -Wno-missing-field-initializers: designated initializers omit members that
# keep their default.
# -Wno-restrict: GCC 12 reports a false positive for operator+ of strings at
# -O3 (GCC bug 105651).
add_compile_options(-Wall -Wextra -Wno-missing-field-initializers
                    -Wno-maybe-uninitialized -Wno-restrict -Werror)

option(CW_GATEWAY_ONLY "Build the gateway daemon without tests and tools" OFF)

option(CW_SANITIZE "Build with AddressSanitizer and UBSan" OFF)
if(CW_SANITIZE)
  add_compile_options(-fsanitize=address,undefined -fno-omit-frame-pointer)
  add_link_options(-fsanitize=address,undefined)
endif()

find_program(CW_CCACHE ccache)
if(CW_CCACHE)
  set(CMAKE_CXX_COMPILER_LAUNCHER "${CW_CCACHE}")
endif()
