#pragma once

#include <string>

namespace roseworks::edge
{

/// Port: reports the state of the router. Called from every traffic thread;
/// must not block.
class introspection_port
{
public:
    virtual ~introspection_port() = default;

    /// @return Whether the log has been replayed and requests can be accepted.
    virtual bool ready() const = 0;

    /// @return Prometheus text for `/metrics`.
    virtual std::string metrics_text() const = 0;

    /// @return JSON for `/state`.
    virtual std::string state_text() const = 0;
};

} // namespace roseworks::edge
