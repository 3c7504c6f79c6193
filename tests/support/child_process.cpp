#include "tests/support/child_process.hpp"

#include <boost/process/args.hpp>
#include <boost/process/extend.hpp>
#include <boost/process/io.hpp>

#include <csignal>
#include <istream>
#include <iterator>
#include <sys/prctl.h>

namespace roseworks::test
{

namespace
{

namespace bp = boost::process;

constexpr auto exit_limit = std::chrono::seconds(60);

std::string path_of(std::string_view program)
{
    return std::string(ROSEWORKS_BIN_DIR) + "/" + std::string(program);
}

} // namespace

child_process::child_process(
    std::string_view program,
    std::vector<std::string> args,
    const std::string& log)
{
    const std::string errors = log.empty() ? "/dev/null" : log;
    this->child = std::make_unique<bp::child>(
        path_of(program),
        bp::args(args),
        bp::std_out > this->output,
        bp::std_err > errors,
        bp::std_in < bp::null,
        bp::extend::on_exec_setup(
            [](auto& /*executor*/)
            {
                // A test that fails ends without destructors.
                prctl(PR_SET_PDEATHSIG, SIGKILL);
            }));
}

child_process::~child_process()
{
    this->kill();
}

std::string child_process::wait_for(std::string_view word)
{
    std::string line;
    while (std::getline(this->output, line))
    {
        if (line.starts_with(word))
            return line.substr(std::min(line.size(), word.size() + 1));
    }
    return {};
}

void child_process::send_signal(int number)
{
    if (this->child && this->child->running())
        ::kill(this->child->id(), number);
}

void child_process::kill()
{
    this->send_signal(SIGKILL);
    std::error_code ignored;
    if (this->child && this->child->valid())
        this->child->wait(ignored);
}

std::optional<int> child_process::terminate()
{
    this->send_signal(SIGTERM);
    return this->wait();
}

std::optional<int> child_process::wait()
{
    std::error_code failed;
    if (!this->child->wait_for(exit_limit, failed))
        return std::nullopt;
    return this->child->exit_code();
}

bool child_process::running()
{
    return this->child->running();
}

int child_process::pid() const
{
    return this->child->id();
}

program_result
run_program(std::string_view program, const std::vector<std::string>& args)
{
    bp::ipstream output;
    bp::child child(
        path_of(program),
        bp::args(args),
        (bp::std_out & bp::std_err) > output,
        bp::std_in < bp::null);
    program_result result;
    result.output.assign(
        std::istreambuf_iterator<char>(output),
        std::istreambuf_iterator<char>());
    child.wait();
    result.exit_code = child.exit_code();
    return result;
}

} // namespace roseworks::test
