// Frames between entry VMs that serve statements. On the wire each is a four-byte length, a
// one-byte kind (the number of FrameKind) and the struct in thrift's binary protocol. `call`
// matches an answer to its question. Durations are in microseconds unless a name says otherwise.

enum FrameKind {
  HELLO = 1, PING = 2, PONG = 3, RUN = 4, RAN = 5, RELEASE = 6, PROVE = 7, PROVED = 8,
  CATALOG_PULL = 9, CATALOG_PUSH = 10, APPOINTED = 11
}

struct Vm {
  1: string id, 2: string domain, 3: string host, 4: i32 port, 5: i64 started_ms, 6: bool leaving
}

// First frame of either side of a connection.
struct Hello { 1: i32 protocol, 2: Vm vm }

struct Ping {
  1: i64 call, 2: i64 catalog_version, 3: i64 vms_known, 4: Vm vm, 5: i64 members_revision
}
// `vms` is empty when the asking VM knows as many VMs.
struct Pong {
  1: i64 call, 2: i64 catalog_version, 3: list<Vm> vms, 4: Vm vm, 5: i64 members_revision
}

// One statement for a member. `exchange` is 0 for a single statement, else the number of a
// transaction, which `opens` begins: 0 goes on, 1 read and write, 2 read only. `fence` asks for
// proof that the member is the primary; otherwise `max_staleness_us` and the mark bound the read.
struct Run {
  1: i64 call, 2: i64 exchange, 3: string service_name, 4: string member, 5: i16 kind, 6: string id,
  7: binary text, 8: string name, 9: binary argument, 10: i16 prepared, 11: string shape,
  12: i16 opens, 13: bool fence, 14: optional i64 mark_term, 15: optional i64 mark_position,
  16: i64 max_staleness_us, 17: i16 rank, 18: i64 on_time_left_us, 19: i64 patience_left_us,
  20: i64 timeout_us, 21: map<string, binary> values
}

// `problem` is 0 when the member answered, else the number of a RunProblem.
struct Ran {
  1: i64 call, 2: i16 problem, 3: i16 code, 4: list<binary> rows, 5: binary signature,
  6: binary text, 7: string state, 8: optional i64 mark_term, 9: optional i64 mark_position,
  10: i64 waited_us, 11: i64 retry_after_us, 12: bool exchange_open
}

// The transaction's owner is done with it; what is open is rolled back.
struct Release { 1: i64 exchange }

// Asks for a proof of the log position of a service's primary.
struct Prove { 1: i64 call, 2: string service_name, 3: bool known_only }
// `age_us` is negative when there is no proof; `member` is who proved it.
struct Proved {
  1: i64 call, 2: string member, 3: i64 term, 4: i64 position, 5: i64 age_us
}

struct CatalogPull { 1: i64 call }
// `body` is JSON compressed with zlib: the configuration and the members' entries as the platform
// keeps them, the latter as lists of name, revision and value.
struct CatalogPush { 1: i64 call, 2: i64 version, 3: binary body, 4: i64 members_revision }

// A member was made primary.
struct Appointed { 1: string service_name, 2: string member }
