# Compiler settings shared by all targets.
set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
option(DOTTERELSHIFT_SANITIZE "Build with the address and undefined-behaviour sanitizers" OFF)

find_program(CCACHE ccache)
if(CCACHE)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE})
endif()

add_compile_options(-Wall -Wextra -Werror -Wno-missing-field-initializers)
add_compile_definitions(BOOST_LOG_DYN_LINK)
if(DOTTERELSHIFT_SANITIZE)
  add_compile_options(-fsanitize=address,undefined -fno-sanitize-recover=all)
  add_link_options(-fsanitize=address,undefined)
endif()
