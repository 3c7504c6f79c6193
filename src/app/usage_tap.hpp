#pragma once

#include "ports/dispatch_port.hpp"

#include <compare>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace roseworks::app
{

/// A caller and a servable that it had requests started of.
struct noted_use
{
    std::string servable;
    std::string caller;

    friend auto operator<=>(const noted_use&, const noted_use&) = default;
};

/** Notes which servables this router starts requests of, and for whom.

    Sits before the dispatcher. The pairs gather until they are taken, so that
    the control thread hears of each once however many requests there are.
    Thread-safe.
*/
class usage_tap final : public dispatch_port
{
public:
    /// @param next        Receives every call.
    /// @param first_noted Told when a use was noted after none was; must not
    ///                    block.
    usage_tap(
        std::shared_ptr<dispatch_port> next, std::function<void()> first_noted);

    ticket submit(request_info info, reply_handler handler) override;
    dispatcher::finish
    finished(ticket request, const attempt_result& result) override;
    void abandon(ticket request) override;
    void drain() override;

    /// @return The uses noted since the last call.
    std::set<noted_use> take();

private:
    void note(const noted_use& what);

    std::shared_ptr<dispatch_port> next;
    std::function<void()> first_noted;
    std::mutex mutex;
    std::set<noted_use> noted;
};

} // namespace roseworks::app
