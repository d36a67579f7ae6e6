find_program(CCACHE ccache)
if(CCACHE)
  set(CMAKE_CXX_COMPILER_LAUNCHER env CCACHE_BASEDIR=${CMAKE_SOURCE_DIR} CCACHE_NOHASHDIR=1 ${CCACHE})
endif()

find_package(absl REQUIRED)
find_package(glog REQUIRED)
find_package(cereal REQUIRED)
find_package(doctest REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(Boost 1.81 REQUIRED)
find_package(Threads REQUIRED)
find_package(rapidcheck REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(httplib REQUIRED IMPORTED_TARGET cpp-httplib)
pkg_check_modules(sodium REQUIRED IMPORTED_TARGET libsodium)
pkg_check_modules(xxhash REQUIRED IMPORTED_TARGET libxxhash)

add_library(hickory_options INTERFACE)
target_compile_options(hickory_options INTERFACE -Wall -Wextra -Werror -Wshadow -Wno-restrict)
target_compile_definitions(hickory_options INTERFACE ASIO_STANDALONE)
if(HICKORY_SANITIZE)
  target_compile_options(hickory_options INTERFACE
    -fsanitize=${HICKORY_SANITIZE} -fno-omit-frame-pointer -fno-sanitize-recover=all)
  target_link_options(hickory_options INTERFACE -fsanitize=${HICKORY_SANITIZE})
  # gcc warns that the thread sanitizer does not model the fences inside asio.
  if(HICKORY_SANITIZE STREQUAL "thread")
    target_compile_options(hickory_options INTERFACE -Wno-tsan)
  endif()
endif()

# hickory_library(NAME SOURCES ... DEPENDS ...): a static library whose headers are included as "NAME/header.h".
# PRIVATE_DEPENDS are not handed on to those who link it.
function(hickory_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;PRIVATE_DEPENDS" ${ARGN})
  add_library(${name} STATIC ${ARG_SOURCES})
  target_include_directories(${name} PUBLIC ${CMAKE_SOURCE_DIR}/src/libs)
  target_link_libraries(${name} PUBLIC hickory_options ${ARG_DEPENDS} PRIVATE ${ARG_PRIVATE_DEPENDS})
endfunction()

# hickory_alone(SOURCE...): keeps these sources of the folder out of unity builds, which scripts/test uses where files are
# only checked: their names would clash with those of other files.
function(hickory_alone)
  set_source_files_properties(${ARGN} PROPERTIES SKIP_UNITY_BUILD_INCLUSION ON)
endfunction()

# hickory_precompile(TARGET...): shares one precompiled header of cpp-httplib and nlohmann's JSON, which take most of
# the time to compile a file at the rim. Decision libraries must not call it: it would hide a forbidden include.
function(hickory_precompile)
  foreach(it ${ARGN})
    target_precompile_headers(${it} REUSE_FROM rimheaders)
  endforeach()
endfunction()

# hickory_precompile_net(TARGET...): the same for Asio, in the libraries of the gateway that own sockets or use them.
function(hickory_precompile_net)
  foreach(it ${ARGN})
    target_precompile_headers(${it} REUSE_FROM netheaders)
  endforeach()
endfunction()

# hickory_test(NAME [UNREGISTERED] SOURCES ... DEPENDS ...): builds tst_NAME.cpp with doctest and registers it with CTest.
function(hickory_test name)
  cmake_parse_arguments(ARG "UNREGISTERED" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(tst_${name} tst_${name}.cpp ${ARG_SOURCES})
  target_link_libraries(tst_${name} PRIVATE hickory_options doctestmain ${ARG_DEPENDS})
  target_precompile_headers(tst_${name} REUSE_FROM doctestmain)
  if(NOT ARG_UNREGISTERED)
    add_test(NAME ${name} COMMAND tst_${name})
    set_tests_properties(${name} PROPERTIES TIMEOUT 120)
  endif()
endfunction()

# hickory_process_test(NAME TEST FILTER...): registers the cases of tst_TEST that doctest's filters choose. They start
# processes that mostly wait, so that some of these tests may run side by side; they begin first, as they take longest.
function(hickory_process_test name test)
  add_test(NAME ${name} COMMAND tst_${test} ${ARGN})
  set_tests_properties(${name} PROPERTIES TIMEOUT 300 PROCESSORS 2 COST 50)
endfunction()
