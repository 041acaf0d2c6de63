#pragma once

#include <cstdint>
#include <string>

#include "admission/part_quarantine.h"

namespace dandelion::admission {

/// Milliseconds of the Unix epoch. Clocks of hosts differ, and may be set.
using UnixMs = int64_t;

/// Encodes the quarantined parts for the platform's store, so that they outlast
/// a restart of all daemons.
std::string EncodeQuarantines(PartQuarantine& quarantine,
                              base::Millis now,
                              UnixMs unix_now);
/// Adds the quarantines of a record. Their age is counted from when the record
/// was written; a time in the future counts as now. Returns false, and adds
/// nothing, if the record can't be read.
bool RestoreQuarantines(const std::string& record,
                        base::Millis now,
                        UnixMs unix_now,
                        PartQuarantine& quarantine);
/// Returns a text that differs if the quarantines do, whatever their age.
std::string IdentifyQuarantines(PartQuarantine& quarantine, base::Millis now);

}  // namespace dandelion::admission
