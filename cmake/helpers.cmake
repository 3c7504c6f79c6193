# Targets by folder: each folder under src/core and src/adapters is a static
# library of its own, so that a part can be embedded, built and tested alone.

add_library(roseworks_flags INTERFACE)
target_compile_options(roseworks_flags INTERFACE
    -Wall -Wextra -Wpedantic -Wshadow=local -Wno-missing-field-initializers -Wnon-virtual-dtor -Werror=return-type)
target_compile_definitions(roseworks_flags INTERFACE
    BOOST_ASIO_NO_DEPRECATED
    BOOST_ASIO_DISABLE_BOOST_COROUTINE
    ROSEWORKS_VERSION="${PROJECT_VERSION}")
target_include_directories(roseworks_flags INTERFACE
    ${PROJECT_SOURCE_DIR}/include ${PROJECT_SOURCE_DIR}/src
    ${PROJECT_SOURCE_DIR})
if(ROSEWORKS_SANITIZE)
    target_compile_options(roseworks_flags INTERFACE
        -fsanitize=${ROSEWORKS_SANITIZE} -fno-omit-frame-pointer)
    target_link_options(roseworks_flags INTERFACE
        -fsanitize=${ROSEWORKS_SANITIZE})
endif()

# roseworks_library(NAME DEPS...): a static library of the current folder's
# sources.
function(roseworks_library name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    if(sources)
        add_library(${name} STATIC ${sources})
        target_link_libraries(${name} PUBLIC roseworks_flags ${ARGN})
    else()
        add_library(${name} INTERFACE)
        target_link_libraries(${name} INTERFACE roseworks_flags ${ARGN})
    endif()
endfunction()

# roseworks_test(NAME DEPS...): one Criterion executable from the folder's
# sources, registered with CTest.
function(roseworks_test name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    if(NOT sources)
        return()
    endif()
    add_executable(${name} ${sources})
    target_link_libraries(${name} PRIVATE
        roseworks_flags PkgConfig::CRITERION ${ARGN})
    target_compile_definitions(${name} PRIVATE
        ROSEWORKS_SOURCE_DIR="${PROJECT_SOURCE_DIR}")
    add_test(NAME ${name} COMMAND ${name} --jobs 4 --timeout 120)
endfunction()
