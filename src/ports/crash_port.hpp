#pragma once

#include "core/crashes/blocked_requests.hpp"
#include "core/crashes/run_content.hpp"
#include "core/crashes/run_end.hpp"
#include "core/crashes/server_life.hpp"

#include <roseworks/ids.hpp>
#include <roseworks/instant.hpp>

#include <string>
#include <vector>

namespace roseworks
{

/// A run that ended without a complete answer.
struct broken_run_report
{
    run_content content;
    server_life life;
    std::string address; ///< ip:port of the server
    run_end end = run_end::connection;
    instant sent; ///< when the request was sent to the server
};

/// Port: what all routers know of requests, and parts of prompts, that crash
/// backend servers.
/// Thread-safe.
class crash_port
{
public:
    virtual ~crash_port() = default;

    /// @return The requests, and parts of prompts, that are blocked now; never
    ///         null.
    virtual blocked_requests_ptr blocked() const = 0;

    virtual void run_broken(const broken_run_report& run) = 0;

    /// Another server answered at the address of this one.
    virtual void server_replaced(server_life life) = 0;

    /// A run of a suspected request ended well.
    virtual void run_answered(fingerprint request) = 0;

    /// An answer on suspected parts of its prompt ended well.
    /// @param began When the server began to write it.
    virtual void
    parts_answered(std::vector<prompt_part> parts, instant began) = 0;

    /// A blocked request, or one with a blocked part, is sent as a trial.
    virtual void trial_started(fingerprint subject) = 0;
};

} // namespace roseworks
