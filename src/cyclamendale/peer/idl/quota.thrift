// Messages between nodes and the holders of quota shards.

// Tokens wanted for one customer; requests wait for some of them, for
// all if `awaited` is not set.
struct QuotaWant {
  1: i16 shard
  2: string customer
  3: i32 tokens
  4: optional i32 awaited
}

// Tokens granted by one holder, for the want at an index of the request.
// Borrowed ones keep the age that they had there.
struct QuotaGrant {
  1: i16 want
  2: i16 shard
  3: i32 epoch
  4: i32 grant_id
  5: i32 tokens
  6: i32 age_limit_us
  7: optional i32 age_us
}

// Unspent tokens of a grant, given back to its holder.
struct QuotaReturn {
  1: i16 shard
  2: i32 epoch
  3: i32 grant_id
  4: i32 tokens
}

// Who holds a shard, as far as the sender knows.
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

// Shards whose leases were given back and may be claimed at once.
struct QuotaReleaseRequest {
  1: list<QuotaHolderHint> released
}

struct QuotaReleaseReply {
}
