// The protocol between two VMs. Frames are a 4-byte big-endian length
// and one Frame in thrift's compact protocol. Both ends send at will.

namespace py peer

enum RaftKind {
  PRE_VOTE = 1,
  PRE_VOTE_REPLY = 2,
  VOTE = 3,
  VOTE_REPLY = 4,
  APPEND = 5,
  APPEND_REPLY = 6,
  HEARTBEAT = 7,
  HEARTBEAT_REPLY = 8,
  SNAPSHOT = 9,
  SNAPSHOT_REPLY = 10,
  TIMEOUT_NOW = 11,
  HELLO = 12,
  HELLO_REPLY = 13
}

// kind: 0 a command, 1 a membership change, 2 empty (a leader's first)
struct Entry {
  1: i64 index,
  2: i64 term,
  3: i32 kind,
  4: binary data
}

// One message of the consensus engine; unused fields stay unset.
struct RaftMessage {
  1: RaftKind kind,
  2: string group,
  3: string source,
  4: string source_incarnation,
  5: string target,
  6: string target_incarnation,
  7: i64 term,
  8: optional i64 index,
  9: optional i64 log_term,
  10: optional i64 commit,
  11: optional list<Entry> entries,
  12: optional bool granted,
  13: optional i64 hint,
  14: optional i64 round,
  15: optional i64 synced,
  16: optional i64 offset,
  17: optional binary data,
  18: optional bool last,
  19: optional string detail
}

// A call; payload is a message of core.codec. The deadline is wall time.
struct Call {
  1: i64 call_id,
  2: binary payload,
  3: double deadline
}

struct Reply {
  1: i64 call_id,
  2: bool ok,
  3: binary payload
}

struct Hello {
  1: string vm_id,
  2: i32 protocol
}

// Everything that waits for a peer goes out in one frame.
struct Frame {
  1: optional Hello hello,
  2: optional list<RaftMessage> raft,
  3: optional list<Call> calls,
  4: optional list<Reply> replies,
  5: optional list<binary> notices
}
