#include "app/usage_tap.hpp"

#include <utility>
#include <variant>

namespace roseworks::app
{

usage_tap::usage_tap(
    std::shared_ptr<dispatch_port> to, std::function<void()> tell)
    : next(std::move(to))
    , first_noted(std::move(tell))
{
}

ticket usage_tap::submit(request_info info, reply_handler handler)
{
    if (info.is_service)
        return this->next->submit(std::move(info), std::move(handler));

    noted_use use{info.target, info.caller};
    return this->next->submit(
        std::move(info),
        [this, use = std::move(use), handler = std::move(handler)](
            const reply& answer)
        {
            if (std::holds_alternative<grant>(answer))
                this->note(use);
            handler(answer);
        });
}

dispatcher::finish
usage_tap::finished(ticket request, const attempt_result& result)
{
    return this->next->finished(request, result);
}

void usage_tap::abandon(ticket request)
{
    this->next->abandon(request);
}

void usage_tap::drain()
{
    this->next->drain();
}

std::set<noted_use> usage_tap::take()
{
    const std::lock_guard lock(this->mutex);
    return std::exchange(this->noted, {});
}

void usage_tap::note(const noted_use& what)
{
    bool is_first = false;
    {
        const std::lock_guard lock(this->mutex);
        is_first = this->noted.empty();
        this->noted.insert(what);
    }
    if (is_first)
        this->first_noted();
}

} // namespace roseworks::app
