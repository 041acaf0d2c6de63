#include "http/connection_group.h"

namespace dandelion::http {

void ConnectionGroup::Close() {
  closed_ = true;
  for (Connection* connection : members_) {
    connection->Close();
  }
}

GroupMember::GroupMember(ConnectionGroup* group, Connection& connection)
    : group_(group), connection_(connection) {
  if (group_ == nullptr) {
    return;
  }
  group_->members_.insert(&connection_);
  if (group_->closed()) {
    connection_.Close();
  }
}

GroupMember::~GroupMember() {
  if (group_ != nullptr) {
    group_->members_.erase(&connection_);
  }
}

}  // namespace dandelion::http
