/**
 * Messages that distribute the configuration between nodes. Every field has
 * a default so that messages of other versions, which may lack fields, can
 * be decoded.
 */

/** Asks a peer what it has in force, and tells it what the sender has. */
struct DigestRequest {
  1: i64 version = 0
  /** Peer address of the sender; empty when it serves no fetches. */
  2: string sender = ""
}

struct DigestReply {
  /** Version in force. */
  1: i64 version = 0
  /** Whether the node serves requests with it. */
  2: bool ready = false
  /** Age of the platform's last word that `version` is the latest. */
  3: optional i32 confirmed_age_ms
}

/** Asks for the files changed after a version, in pages by file name. */
struct FetchRequest {
  1: i64 have_version = 0
  2: string after_file = ""
}

struct FileChange {
  1: string file = ""
  2: i64 version = 0
  3: string change_id = ""
  4: string writer = ""
  /** Absent when the file was removed. */
  5: optional binary content
}

struct FetchReply {
  1: i64 version = 0
  /** SHA-256 digest of the version's manifest. */
  2: binary manifest = ""
  /** Whether `changes` are all files, not only those changed. */
  3: bool complete = false
  4: i64 removals_since = 0
  5: list<FileChange> changes = []
  /** Whether another page follows. */
  6: bool more = false
}
