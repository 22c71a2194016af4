// Messages between the nodes of a fleet.

// A request that is forwarded to the node next to the selected upstream.
struct RunRequest {
  1: required string request_id,
  2: required string service_name,
  // Request line and forwarded header lines, each terminated by CRLF.
  3: required binary head,
  4: required binary body,
  5: required double remaining_s,
  6: required i16 rank,
  7: required bool idempotent,
  // Whether an upstream made this call while processing another request.
  8: required bool onward,
  // Host and process of the upstream, as known to the sender.
  9: required string upstream_id,
  10: required double aim_left_s,
  11: required string route,
}

struct RunAnswer {
  // HTTP status from the upstream, or 0 if the node itself answers.
  1: required i16 status,
  2: required binary head,
  3: required binary body,
  4: optional string reason,
  5: required bool may_have_run,
  6: optional double retry_after_s,
  // Requests in service and queued at the gate of the answering node.
  7: required i32 at_gate,
}

struct UpstreamReport {
  1: required string upstream_id,
  2: required string service_name,
  3: required i32 slots,
  4: required bool is_open,
  5: required double cold_left_s,
  6: required i32 at_gate,
  7: required double pressure,
  8: required double service_time_s,
  // Fraction of the requests handed over to it that it refuses while it has
  // capacity.
  9: optional double refused_share,
}

struct CustomerSpending {
  1: required string customer,
  2: required double demand_per_s,
  // Requests admitted since the process started.
  3: required i64 admitted,
}

// Mean number of calls to one route per request of another route.
struct CallFrequency {
  1: required string caller,
  2: required string callee,
  3: required double calls,
}

// Requests to one service and their retries in the window of the retry limit.
struct RetryUsage {
  1: required string service_name,
  2: required i32 requests,
  // Requests in the previous window.
  3: required i32 before,
  4: required i32 repeats,
}

// Report of one host, sent as a datagram.
struct HostReport {
  1: required string peer_address,
  2: required i64 incarnation,
  3: required i32 sequence,
  4: required string failure_domain,
  5: required i64 configuration_version,
  6: required bool is_leaving,
  7: optional UpstreamReport upstream,
  8: optional list<CustomerSpending> spendings,
  9: optional list<CallFrequency> frequencies,
  // Whether the receiver should reply immediately with its own report.
  10: required bool is_introduction,
  11: optional list<RetryUsage> retries,
}

// Reports of several hosts, each as encoded by its host; sent as a datagram.
struct ReportBundle {
  1: required list<binary> reports,
  // Whether a relay forwarded it within its failure domain.
  2: required bool is_forwarded,
}

struct ConfigurationRequest {
  1: required i64 have_version,
}

// A version as the platform's original bytes, so that all nodes decode the
// same document.
struct ConfigurationDocument {
  1: required i64 version,
  2: required binary document,
}
