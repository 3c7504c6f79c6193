#pragma once

#include "ports/event_sink.hpp"

namespace roseworks::events
{

/// Discards every event. For tests and for embedding without logs.
class null_event_sink final : public event_sink
{
public:
    void emit(const event_record&) noexcept override {}
};

} // namespace roseworks::events
