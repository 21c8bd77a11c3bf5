// Frames between VMs. Each frame is a four-byte length, a one-byte kind (a FrameKind) and the
// struct in thrift's binary protocol. `call` is the ID that a response shares with its request.
// Durations are in microseconds, since milliseconds are too coarse to compare permits.

enum FrameKind {
  CHALLENGE = 1, HELLO = 2, EXECUTE = 3, DATA = 4, CREDIT = 5, RESULT = 6, CANCEL = 7, CLOSE = 8,
  HEARTBEAT = 9, HEARTBEAT_ACK = 10, TEXT_PULL = 11, TEXT_PUSH = 12, STATUS_PULL = 13,
  STATUS_PUSH = 14, PRIMARY_SEEN = 15, PRIMARY_SEEN_ANSWER = 16, PING = 17, INDIRECT = 18,
  PRIMARY_CHANGED = 19, HELLO_ACK = 20, INDIRECT_ACK = 21,
  OBJECT_PULL = 22, OBJECT_PUSH = 23
}

// First frame of the accepting side: a nonce that the proof in Hello must cover.
struct Challenge { 1: i32 protocol, 2: binary nonce }

// proof = HMAC-SHA256(shared key, "client" + challenge nonce + own nonce + vm).
struct Hello {
  1: i32 protocol, 2: string vm, 3: binary nonce, 4: binary proof, 5: string host, 6: i32 port,
  7: string domain, 8: string region
}

// proof = HMAC-SHA256(shared key, "server" + hello nonce + challenge nonce + vm).
struct HelloAck { 1: string vm, 2: binary proof }

// Opens a stream with its first request. `database` and `member` are fully qualified IDs.
// `floor_term` and `floor_position` are the mark that a replica must have reached.
struct Execute {
  1: i64 stream, 2: i64 request, 3: string fleet, 4: string database, 5: string member, 6: i16 rank,
  7: i64 age_us, 8: optional i64 floor_term, 9: optional i64 floor_position, 10: i64 deadline_us,
  11: bool repeatable, 12: i32 flags, 13: binary frames
}

// `request` numbers the requests of a stream; `flags` are those of the request, set on its first
// frame.
struct Data { 1: i64 stream, 2: i64 request, 3: binary frames, 4: i32 flags, 5: i64 deadline_us }

// Flow control: the receiver has consumed `bytes` more of the stream's data.
struct Credit { 1: i64 stream, 2: i32 bytes }

struct TermStart { 1: i64 term, 2: i64 start }

// `problem` is the name of an ErrorKind, or empty.
struct Result {
  1: i64 stream, 2: i64 request, 3: string problem, 4: string detail, 5: i64 retry_after_us,
  6: binary tail, 7: string tx_status, 8: optional i64 term, 9: optional i64 position,
  10: optional i64 permit_age_us, 11: optional i64 permit_length_us, 12: string redirect,
  13: list<TermStart> history, 14: i32 flags, 15: optional string redirect_member
}

struct Cancel { 1: i64 stream }
struct Close { 1: i64 stream }

// A change of the membership view, sent along with heartbeats.
struct VmUpdate {
  1: string vm, 2: i16 state, 3: i64 incarnation, 4: string domain, 5: string region,
  6: string host, 7: i32 port
}

struct Heartbeat { 1: string vm, 2: list<VmUpdate> updates, 3: i64 text_version }
struct HeartbeatAck { 1: string vm, 2: list<VmUpdate> updates, 3: i64 text_version }
// `origin` asks the receiver to send a heartbeat to `vm` and to report back if it answers.
struct Indirect { 1: string origin, 2: string vm }
// `via` reports that `vm` answered.
struct IndirectAck { 1: string via, 2: string vm }

struct TextPull { 1: i64 call, 2: i64 have_version }
// `source` is compressed with zlib; empty if the sender has no newer version.
struct TextPush { 1: i64 call, 2: i64 version, 3: string identity, 4: binary source }

struct StatusPull { 1: i64 call, 2: string what }
struct StatusPush { 1: i64 call, 2: string vm, 3: binary body }

// Requests a platform object that the sender cannot read itself; `version` is the version that
// the sender has.
struct ObjectPull { 1: i64 call, 2: string kind, 3: string name, 4: i64 version }
// `body` is the object's value as JSON; empty if the sender has no newer version.
struct ObjectPush { 1: i64 call, 2: i64 version, 3: binary body }

struct PrimarySeen { 1: i64 call, 2: string database }
struct PrimarySeenAnswer { 1: i64 call, 2: string database, 3: bool valid }
struct PrimaryChanged { 1: string database, 2: i64 term, 3: string member }

// Keepalive for a connection with open streams.
struct Ping { 1: i64 sequence }
