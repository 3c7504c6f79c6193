#pragma once

#include <boost/process/child.hpp>
#include <boost/process/pipe.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace roseworks::test
{

/** One of our programs, run by a test from the build's bin folder.

    Killed when the object goes, so that a failed test leaves no process.
*/
class child_process
{
public:
    /**
        @param program Name in the bin folder.
        @param args    Its arguments.
        @param log     File that takes its standard error; empty: dropped.
    */
    child_process(
        std::string_view program,
        std::vector<std::string> args,
        const std::string& log = {});
    ~child_process();
    child_process(child_process&&) = delete;
    child_process& operator=(child_process&&) = delete;

    /** Read standard output until a line begins with a word.

        @param word For example `listening`.
        @return     The rest of that line, empty when the output ended first.
    */
    std::string wait_for(std::string_view word);

    /// Send a signal, SIGSTOP and SIGCONT included.
    void send_signal(int number);

    /// SIGKILL and reap.
    void kill();

    /// SIGTERM, then wait.
    /// @return The exit code, empty when it hasn't ended within the limit.
    std::optional<int> terminate();

    /// Wait for the end.
    /// @return The exit code, empty when it hasn't ended within the limit.
    std::optional<int> wait();

    bool running();

    int pid() const;

private:
    boost::process::ipstream output;
    std::unique_ptr<boost::process::child> child;
};

/// Outcome of a program that runs to its end.
struct program_result
{
    int exit_code = -1;
    std::string output; ///< standard output and standard error
};

/// Run one of our programs to its end.
program_result
run_program(std::string_view program, const std::vector<std::string>& args);

} // namespace roseworks::test
