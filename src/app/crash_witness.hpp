#pragma once

#include "ports/engine_port.hpp"

#include <roseworks/dispatcher.hpp>
#include <roseworks/ids.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/system/error_code.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

namespace roseworks::app
{

/** Tells a backend server's crash from a connection that broke.

    A broken connection alone proves nothing: a network device may have reset
    it. The server counts as crashed when a fresh connection to it is refused,
    or when its engine answers under another incarnation than before. One that
    can't be reached either way within some seconds is not held against the
    request.

    Runs on the control thread's executor.
*/
class crash_witness
{
public:
    using report = std::function<void(const crash_seen&, crash_finding)>;

    /**
        @param executor The control thread's.
        @param engines  Reads engines' states; has to outlive this.
        @param tell     Receives one finding for each server examined.
    */
    crash_witness(
        boost::asio::any_io_executor executor,
        engine_port& engines,
        report tell);

    /// An engine reported its state.
    void engine_seen(engine_id engine, std::uint64_t incarnation);

    /// A connection broke under a request that had been sent.
    void examine(const crash_seen& what);

    /// Nothing is told any more.
    void stop();

private:
    struct inquiry;
    using inquiry_ptr = std::shared_ptr<inquiry>;

    void connect(const inquiry_ptr& about);
    void
    connected(const inquiry_ptr& about, const boost::system::error_code& error);
    void read(const inquiry_ptr& about);
    void state_read(const inquiry_ptr& about, const engine_report& report);
    void try_again(const inquiry_ptr& about);

    boost::asio::any_io_executor executor;
    engine_port& engines;
    report tell;
    std::unordered_map<engine_id, std::uint64_t> incarnations;
    bool stopped = false;
};

} // namespace roseworks::app
