#pragma once

#include "tools/common/exit_code.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/pred.hpp>
#include <boost/leaf/result.hpp>
#include <cxxopts.hpp>

#include <functional>
#include <iostream>
#include <utility>

namespace roseworks::tools
{

/** Run a program's body and explain what it failed by on standard error.

    An `input_error` and an option that can't be read give `bad_input`; all
    that no handler knows gives `failed`.

    @param body  Returns a `boost::leaf::result<exit_code>`.
    @param first Handlers of the program's own, tried before the common ones.
    @return      The body's code, or that of the handler that matched.
*/
template <class Body, class... Handlers>
exit_code run_and_explain(const Body& body, Handlers&&... first)
{
    return boost::leaf::try_handle_all(
        body,
        std::forward<Handlers>(first)...,
        [](const input_error& error)
        {
            std::cerr << error.what << '\n';
            return exit_code::bad_input;
        },
        [](boost::leaf::catch_<cxxopts::exceptions::exception> error)
        {
            std::cerr << error.matched.what() << '\n';
            return exit_code::bad_input;
        },
        [](boost::leaf::catch_<std::exception> error)
        {
            std::cerr << error.matched.what() << '\n';
            return exit_code::failed;
        },
        []
        {
            std::cerr << "failed\n";
            return exit_code::failed;
        });
}

/** The tail of each `main`: no exception leaves the program.

    @param program The whole program.
    @return        The process's exit code.
*/
int run_main(const std::function<exit_code()>& program);

} // namespace roseworks::tools
