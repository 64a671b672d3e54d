#ifndef DOTTERELSHIFT_SRC_APP_SUSPECT_CHANGES_H_
#define DOTTERELSHIFT_SRC_APP_SUSPECT_CHANGES_H_

#include <vector>  // for vector

#include "dotterelshift/wire/commands_generated.h"  // for SuspectAnswerT

namespace dotterelshift::app {

// The changes of quarantined contents and suspected prompt segments by a batch
// that all entries have to know. Logs each.
std::vector<wire::SuspectAnswerT> SuspectChangesIn(
    const wire::CommandBatchT& batch,
    const std::vector<wire::CommandAnswerT>& answers);

}  // namespace dotterelshift::app

#endif  // DOTTERELSHIFT_SRC_APP_SUSPECT_CHANGES_H_
