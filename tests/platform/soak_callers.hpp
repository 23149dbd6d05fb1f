/// Callers that check their answers while faults occur.
#pragma once

#include "tests/platform/soak_world.hpp"

namespace poplar::gateway
{

class soak_callers
{
public:
    explicit soak_callers(soak_world& world);
    ~soak_callers();
    soak_callers(const soak_callers&) = delete;
    soak_callers& operator=(const soak_callers&) = delete;

    void stop();
    /// Checks that all gateways serve again within seconds of the last fault.
    void expect_recovery();

private:
    struct connection
    {
        explicit connection(const soak_world::route_to_gateway& to)
            : caller(to.address), number(to.number)
        {
        }
        scripted_caller caller;
        incarnation number;
    };
    struct sent_request
    {
        std::string kind;
        std::string id;
        std::size_t gateway = 0;
        bool must_have_route = false;
        mono_time sent;
    };

    void call_until_end(std::size_t caller);
    /// True when the connection may be used again.
    bool call_once(connection& c, sent_request r);
    void check(const connection& c, const sent_request& r,
               const received_answer& answer);
    void check_answer(const std::string& kind, const std::string& id,
                      const std::string& answer, bool is_complete);

    soak_world& world_;
    std::atomic<bool> is_stopping_ = false;
    std::vector<std::thread> threads_;
};

} // namespace poplar::gateway
