#pragma once

#include "core/origins/stream_key.hpp"
#include "core/origins/stream_origin.hpp"

#include <roseworks/ids.hpp>

#include <functional>
#include <string>
#include <vector>

namespace roseworks
{

/// Asks which software began a stream that a caller takes up.
struct origin_question
{
    stream_key stream; ///< as the caller names it; 0: it names none
    std::vector<std::string> services; ///< that may have begun it
};

/// Port: the software that began each stream, known to several routers.
/// Thread-safe.
class origin_port
{
public:
    /// Receives the answer. Called once, from any thread; must not block.
    using handler = std::function<void(const stream_origin&)>;

    virtual ~origin_port() = default;

    /// The first event of a stream is about to be sent to its caller.
    virtual void began(stream_key stream, software_version software) = 0;

    /// Finds the origin of a stream. Answers within some tens of milliseconds,
    /// in which other routers may be asked.
    virtual void find(origin_question question, handler on_answer) = 0;
};

} // namespace roseworks
