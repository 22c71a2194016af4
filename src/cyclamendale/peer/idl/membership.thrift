// Membership messages: gossip datagrams and full state synchronisation.

struct UpstreamEntry {
  1: string service_name
  2: string address
  3: i32 slots
  4: i32 connections
  5: i8 state
}

// State of one node as gossiped between nodes; `node` includes its address.
struct MemberEntry {
  1: string node
  2: string failure_domain
  3: i32 incarnation
  4: i8 state
  5: optional UpstreamEntry upstream
  6: optional bool leaving
  7: optional string accuser
}

struct MembershipDatagram {
  1: i8 version
  2: i8 kind
  3: string sender
  4: i64 sender_nonce
  5: i64 receiver_nonce
  6: i64 counter
  7: i32 sequence
  8: optional string target
  9: i64 digest
  10: optional bool settled
  11: optional list<binary> updates
}

// Requests the entries after address `after` that are not in `known`, and
// sends the entries in `pushed`.
struct MembershipSyncRequest {
  1: binary own
  2: string after
  3: binary known
  4: list<binary> pushed
}

struct MembershipSyncReply {
  1: list<binary> entries
  2: bool more
  3: string last
  4: binary missing
}
