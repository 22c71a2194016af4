// Messages of a call between two nodes.

struct CallRequest {
  1: required string request_id,
  2: required string customer,
  3: required string route,
  4: required byte importance,
  5: required i64 shed_key,
  6: required i16 depth,
  7: required i16 budget,
  8: required double remaining_s,
  9: required binary head,
  10: required binary body,
  11: required bool more,
  12: required i64 body_bytes,
}

struct CallAnswer {
  1: required i16 status,
  2: required binary head,
  3: required binary body,
  4: required bool more,
  5: required i64 body_bytes,
  6: required i16 unused_budget,
  7: required i64 threshold,
  8: required double load,
  // The following fields are set only on a refusal.
  9: optional string reason,
  10: optional string execution,
  11: optional string decider_file,
  12: optional i64 decider_version,
  13: optional double retry_after_s,
}

struct Chunk {
  1: required binary data,
  2: required bool last,
  3: required i16 unused_budget,
}

// Payload of a pull, a cancellation and the acknowledgement of a push.
struct Signal {
}
