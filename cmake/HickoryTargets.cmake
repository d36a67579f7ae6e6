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
  # Without it, the order of includes decides which allocator Asio uses in a file, and the address sanitizer reports memory
  # that one file allocates with operator new and another one frees with free().
  target_compile_definitions(hickory_options INTERFACE ASIO_DISABLE_STD_ALIGNED_ALLOC)
  # Asio uses atomic_thread_fence, which the thread sanitizer does not support; gcc warns about it under -Wtsan.
  if(HICKORY_SANITIZE STREQUAL "thread")
    target_compile_options(hickory_options INTERFACE -Wno-tsan)
  endif()
endif()

# hickory_library(NAME SOURCES ... DEPENDS ... PRIVATE_DEPENDS ...): adds a static library whose headers are included as
# "NAME/header.h". Targets that link it do not inherit PRIVATE_DEPENDS.
function(hickory_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;PRIVATE_DEPENDS" ${ARGN})
  add_library(${name} STATIC ${ARG_SOURCES})
  target_include_directories(${name} PUBLIC ${CMAKE_SOURCE_DIR}/src/libs)
  target_link_libraries(${name} PUBLIC hickory_options ${ARG_DEPENDS} PRIVATE ${ARG_PRIVATE_DEPENDS})
endfunction()

# hickory_skip_unity(SOURCE...): excludes these sources from the unity builds of scripts/test, because their file-local
# names clash with those of other sources in the folder.
function(hickory_skip_unity)
  set_source_files_properties(${ARGN} PROPERTIES SKIP_UNITY_BUILD_INCLUSION ON)
endfunction()

# hickory_precompile(TARGET...): shares one precompiled header of cpp-httplib and nlohmann's JSON, which dominate the
# compile time of files that use HTTP. Decision libraries must not call it: it would hide a forbidden include.
function(hickory_precompile)
  foreach(target ${ARGN})
    target_precompile_headers(${target} REUSE_FROM rimheaders)
  endforeach()
endfunction()

# hickory_precompile_net(TARGET...): shares one precompiled header of Asio and standard headers, for the libraries of the
# gateway that use sockets.
function(hickory_precompile_net)
  foreach(target ${ARGN})
    target_precompile_headers(${target} REUSE_FROM netheaders)
  endforeach()
endfunction()

# hickory_test(NAME [UNREGISTERED] SOURCES ... DEPENDS ...): builds tst_NAME.cpp with doctest and, without UNREGISTERED,
# registers it with CTest.
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

# hickory_process_test(NAME TEST FILTER...): registers the test cases of tst_TEST that the doctest filters select. Their
# child processes mostly wait, so a test counts as two processors only and several run in parallel. The COST makes CTest
# start them first, as they take the longest.
function(hickory_process_test name test)
  add_test(NAME ${name} COMMAND tst_${test} ${ARGN})
  set_tests_properties(${name} PROPERTIES TIMEOUT 300 PROCESSORS 2 COST 50)
endfunction()
