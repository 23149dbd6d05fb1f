/// Converts decisions of policy::admission to answers of the dispatch policy
/// and writes the text that explains them.
#pragma once

#include "entry/dispatch_policy.hpp"
#include "policy/admission.hpp"

namespace poplar::entry
{

admission_answer to_answer(const policy::admission_request& r,
                           const policy::admission_decision& d);

} // namespace poplar::entry
