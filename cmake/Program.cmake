# dotterelshift_program(NAME SOURCES...): adds an executable that links the project's library.
function(dotterelshift_program name)
  add_executable(${name} ${ARGN})
  target_link_libraries(${name} PRIVATE dotterelshift)
endfunction()
