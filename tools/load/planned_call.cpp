#include "tools/load/planned_call.hpp"

#include "core/trace/trace_generator.hpp"

#include <boost/random/bernoulli_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <random>

namespace roseworks::tools
{

namespace
{

std::string_view urgency_word(priority value)
{
    switch (value)
    {
    case priority::urgent:
        return "urgent";
    case priority::normal:
        return "normal";
    case priority::batch:
        return "batch";
    }
    return "normal";
}

/// A prompt of a length, unlike every other of the run.
std::string make_prompt(const std::string& request_id, std::size_t length)
{
    std::string prompt = "request " + request_id + ' ';
    prompt.resize(std::max(prompt.size(), length), 'x');
    return prompt;
}

} // namespace

std::vector<planned_call> plan_calls(
    const load_options& options,
    const std::vector<std::string>& models,
    std::string_view run)
{
    constexpr double us_per_hour = 3.6e9;
    const trace source = generate_trace(options.profile, options.seed);
    const instant from(
        duration(static_cast<duration::rep>(options.from_hour * us_per_hour)));
    std::mt19937_64 random(options.seed);
    boost::random::bernoulli_distribution<double> once(options.once_share);
    boost::random::uniform_int_distribution<std::size_t> router(
        0, options.target.routers.size() - 1);

    std::vector<planned_call> calls;
    for (const traced_request& request : source.requests)
    {
        if (request.at < from)
        {
            continue;
        }
        const std::chrono::duration<double> after =
            std::chrono::duration<double>(request.at - from) / options.speed;
        if (after >= options.length || calls.size() == options.max_requests)
        {
            break;
        }
        planned_call call;
        call.at = std::chrono::duration_cast<std::chrono::nanoseconds>(after);
        call.request_id =
            std::string(run) + "-" + std::to_string(calls.size() + 1);
        call.model = models[request.servable % models.size()];
        call.caller = "caller-" + std::to_string(request.caller);
        call.urgency = urgency_word(request.urgency);
        call.prompt = make_prompt(
            call.request_id,
            std::min(request.prompt_chars, options.max_prompt_chars));
        call.max_tokens = std::min(request.output_tokens, options.max_tokens);
        call.once = once(random);
        call.router = router(random);
        call.deadline = options.deadline;
        calls.push_back(std::move(call));
    }
    return calls;
}

} // namespace roseworks::tools
