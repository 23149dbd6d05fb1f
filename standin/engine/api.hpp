/// HTTP interface of the stand-in engine.
#pragma once

#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "standin/common/fault_gate.hpp"
#include "standin/engine/engine.hpp"

namespace poplar::standin
{

class engine_api
{
public:
    explicit engine_api(const engine_settings& settings);

    /// Admin paths answer also while the engine is frozen.
    void handle(net::http_request request, net::responder_ptr answer);

private:
    void handle_work(const net::http_request& request,
                     const net::responder_ptr& answer);
    void handle_admin(const net::http_request& request,
                      const net::responder_ptr& answer);
    void submit(const nlohmann::json& body, bool prefill_only,
                const net::responder_ptr& answer);
    void import_kv(job_request request, const net::responder_ptr& answer);
    void export_kv(const std::string& handle, const net::responder_ptr& answer);
    void order(const nlohmann::json& body, const net::responder_ptr& answer);
    void report_load(const net::responder_ptr& answer) const;
    void report_state(const net::responder_ptr& answer) const;
    void report_cache(const net::http_request& request,
                      const net::responder_ptr& answer) const;
    void set_faults(const nlohmann::json& body,
                    const net::responder_ptr& answer);
    void load_weights(const engine_setup& setup,
                      const std::function<void(bool)>& done);

    const engine_settings settings_;
    engine engine_;
    fault_gate gate_;
    net::http_client client_; ///< Destroyed first: its hooks use the engine.
};

} // namespace poplar::standin
