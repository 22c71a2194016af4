// Timeline and status requests between nodes.

namespace py timeline

struct TimelineRequest {
  1: optional string request,
  2: optional string customer,
  3: optional string file,
  4: i64 since_ms,
  5: i32 limit_events,
  6: i32 limit_bytes,
}

struct TimelineReply {
  1: string node,
  // JSON list of recorded events, ordered by their hybrid logical clock stamps.
  2: binary events,
  3: bool truncated,
}

struct StatusRequest {
}

struct StatusReply {
  // Status of the node as JSON.
  1: binary status,
}
