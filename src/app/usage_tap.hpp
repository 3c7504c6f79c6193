#pragma once

#include "ports/dispatch_port.hpp"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_set>

namespace roseworks::app
{

/** Notes which servables this router starts requests of.

    Sits before the dispatcher. The names gather until they are taken, so that
    the control thread hears of each once however many requests there are.
    Thread-safe.
*/
class usage_tap final : public dispatch_port
{
public:
    /// @param next        Receives every call.
    /// @param first_noted Told when a name was noted after none was; must not
    ///                    block.
    usage_tap(
        std::shared_ptr<dispatch_port> next, std::function<void()> first_noted);

    ticket submit(request_info info, reply_handler handler) override;
    dispatcher::finish
    finished(ticket request, const attempt_result& result) override;
    void abandon(ticket request) override;
    void drain() override;

    /// @return The names noted since the last call.
    std::unordered_set<std::string> take();

private:
    void note(const std::string& servable);

    std::shared_ptr<dispatch_port> next;
    std::function<void()> first_noted;
    std::mutex mutex;
    std::unordered_set<std::string> noted;
};

} // namespace roseworks::app
