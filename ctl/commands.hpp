/// The subcommands of poplarctl.
#pragma once

#include "ctl/exit_code.hpp"
#include "ctl/options.hpp"
#include "store/object_store.hpp"

namespace poplar::ctl
{

/// All throw settings::settings_error, store::store_error and error.
exit_code run_check(const options& o);
exit_code run_apply(const options& o, store::object_store& store);
exit_code run_diff(const options& o, store::object_store& store);
exit_code run_export(const options& o, store::object_store& store);
exit_code run_drain(const options& o, store::object_store& store);
exit_code run_status(const options& o, store::object_store& store);
exit_code run_explain(const options& o);
exit_code run_losses(const options& o);

} // namespace poplar::ctl
