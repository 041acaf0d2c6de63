#pragma once

#include <set>

#include "http/client.h"

namespace dandelion::http {

/// Open connections that can be closed together, which fails the requests on
/// them.
class ConnectionGroup {
 public:
  /// Closes the members, and from now on every new one. Nothing must be sent on
  /// a new connection then.
  void Close();
  bool closed() const { return closed_; }

 private:
  friend class GroupMember;

  std::set<Connection*> members_;
  bool closed_ = false;
};

/// Keeps a connection in a group. Must not outlive the connection.
class GroupMember {
 public:
  /// `group` may be null; the connection is then in no group.
  GroupMember(ConnectionGroup* group, Connection& connection);
  ~GroupMember();
  GroupMember(const GroupMember&) = delete;
  GroupMember& operator=(const GroupMember&) = delete;

  /// Whether the group is closed, so that nothing must be sent any more.
  bool closed() const { return group_ != nullptr && group_->closed(); }

 private:
  ConnectionGroup* group_;
  Connection& connection_;
};

}  // namespace dandelion::http
