#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/leaf/result.hpp>

#include <chrono>
#include <functional>
#include <string>

namespace roseworks::app
{

/// LEAF error object: files that can't be used. Holds no secret.
struct file_problem
{
    std::string setting;
    std::string file;
    std::string what;

    friend bool operator==(const file_problem&, const file_problem&) = default;
};

/// Reads files again from time to time and when asked to, so that new ones need
/// no restart. Files that can't be used leave what was read before, and are
/// told once. Runs on one event loop.
class file_watch
{
public:
    static constexpr std::chrono::seconds reload_interval{5};

    /// What is read, and who is told.
    struct handlers
    {
        /// Reads the files and puts what they hold in force; empty: nothing is
        /// watched. @return Whether it was new, or a `file_problem`.
        std::function<boost::leaf::result<bool>()> reload;
        std::function<void()> replaced;
        std::function<void(const file_problem&)> refused;
    };

    file_watch(const boost::asio::any_io_executor& executor, handlers wanted);

    /// Reloads from now on, until `stop` or the event loop's end.
    void start();

    void stop();

    /// Reads the files now.
    void reload();

private:
    void arm();

    handlers calls;
    boost::asio::steady_timer timer;
    file_problem told; ///< the last problem, until the files can be used
};

} // namespace roseworks::app
