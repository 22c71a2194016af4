// Messages between nodes and the holders of quota shards.

// Tokens wanted for one customer. Requests are waiting for `awaited` of
// them, or for all of them if it is not set.
struct QuotaWant {
  1: i16 shard
  2: string customer
  3: i32 tokens
  4: optional i32 awaited
}

// Tokens granted by one holder for the want at index `want` of the request.
// Borrowed tokens keep the age that they had at the lender.
struct QuotaGrant {
  1: i16 want
  2: i16 shard
  3: i32 epoch
  4: i32 grant_id
  5: i32 tokens
  6: i32 age_limit_us
  7: optional i32 age_us
}

// Unspent tokens of a grant, returned to its holder.
struct QuotaReturn {
  1: i16 shard
  2: i32 epoch
  3: i32 grant_id
  4: i32 tokens
}

// Current holder of a shard, as known to the sender.
struct QuotaHolderHint {
  1: string failure_domain
  2: i16 shard
  3: i32 epoch
  4: string holder
}

struct QuotaDrawRequest {
  1: list<QuotaWant> wants
  2: optional list<QuotaReturn> returns
}

struct QuotaDrawReply {
  1: list<QuotaGrant> grants
  2: optional list<QuotaHolderHint> hints
}

struct QuotaReturnRequest {
  1: list<QuotaReturn> returns
}

struct QuotaReturnReply {
  1: i32 credited
}

// Shards whose leases were released and may be acquired immediately.
struct QuotaReleaseRequest {
  1: list<QuotaHolderHint> released
}

struct QuotaReleaseReply {
}
