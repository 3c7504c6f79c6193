#pragma once

#include <roseworks/controller.hpp>

#include <span>

namespace roseworks
{

/// Receives the platform's VM list, on the thread that runs the port.
class vm_list_listener
{
public:
    virtual ~vm_list_listener() = default;

    /// The whole list was read. A hint: the list lags behind the actual state.
    virtual void vms_listed(std::span<const vm_entry> vms) = 0;

    /// The list couldn't be read or parsed.
    virtual void vm_list_failed() = 0;
};

/// Port: the platform's lagging list of live and leaving VMs.
class vm_list_port
{
public:
    virtual ~vm_list_port() = default;

    /// Starts to poll the list.
    virtual void start(vm_list_listener& listener) = 0;

    /// Stops polling. The listener isn't called after this.
    virtual void stop() = 0;
};

} // namespace roseworks
