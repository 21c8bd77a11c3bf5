// Frames between the entry VMs, which forward statements to each other. Each frame is a four-byte
// length, a one-byte kind (a FrameKind) and the struct in thrift's binary protocol. `call` is the
// ID that a response shares with its request. Durations are in microseconds unless the field name
// states another unit.

enum FrameKind {
  HELLO = 1, PING = 2, PONG = 3, RUN = 4, RAN = 5, RELEASE = 6, PROVE = 7, PROVED = 8,
  CATALOG_PULL = 9, CATALOG_PUSH = 10, APPOINTED = 11, QUOTA_REPORT = 12, QUOTA_GRANT = 13,
  QUOTA_RECALL = 14, QUOTA_RECALLED = 15
}

// `capacity` is in thousandths of a core, 0 if unknown. `slow_ms` is 0, or by how much the VM was
// late when it judged itself slow; `sequence` grows with each change of it. A field that is 0 is left
// out, and a build that knows none of the three leaves all out.
struct Vm {
  1: string id, 2: string domain, 3: string host, 4: i32 port, 5: i64 started_ms, 6: bool leaving,
  7: i32 capacity, 8: i32 slow_ms, 9: i32 sequence, 10: optional bool store_lost
}

// First frame that each side of a connection sends.
struct Hello { 1: i32 protocol, 2: Vm vm }

// `members_revision` is the newest revision of a member's entry that the sender has, in the era
// `store_era` of the store, which has lasted for `store_era_age_ms` at least; a build that knows no
// eras leaves both out. `loop_delay_us` is how late the sender's timers fire. `late_by_us` is by how
// much the receiver's answer to the ping before was late, if it was. `news` are the VMs that became
// slow or fine, or lost or regained the store, a moment ago.
struct Ping {
  1: i64 call, 2: i64 catalog_version, 3: i64 vms_known, 4: Vm vm, 5: i64 members_revision,
  6: i64 store_era, 7: i64 store_era_age_ms, 10: optional i32 late_by_us,
  11: optional i32 loop_delay_us, 12: optional list<Vm> news
}
// `vms` lists the VMs that became slow or fine a moment ago if the requesting VM knows as many VMs,
// else all. `loads` holds the loads of at most two members, ten bytes each: the CRC-32 of the ID, the
// packed load, and its age in units of 10 ms.
struct Pong {
  1: i64 call, 2: i64 catalog_version, 3: list<Vm> vms, 4: Vm vm, 5: i64 members_revision,
  6: i64 store_era, 7: i64 store_era_age_ms, 8: optional binary loads,
  10: optional i32 loop_delay_us
}

// Runs one statement on a member. `exchange` is 0 for a single statement, else the ID of the
// transaction. `opens` is 0 to continue the transaction, 1 to begin a read-write one and 2 to begin
// a read-only one. `fence` requires proof that the member is the primary; otherwise
// `max_staleness_us` and the mark limit how stale the read may be. `team` is left out for work that
// belongs to no team.
struct Run {
  1: i64 call, 2: i64 exchange, 3: string service_name, 4: string member, 5: i16 kind, 6: string id,
  7: binary text, 8: string name, 9: binary argument, 10: i16 prepared, 11: string shape,
  12: i16 opens, 13: bool fence, 14: optional i64 mark_term, 15: optional i64 mark_position,
  16: i64 max_staleness_us, 17: i16 rank, 18: i64 on_time_left_us, 19: i64 patience_left_us,
  20: i64 timeout_us, 21: map<string, binary> values, 22: optional string team
}

// Response to Run. `problem` is 0 if the member answered, else the number of a RunProblem. `load`
// is the packed load of the member at its holder, left out if it is light.
struct Ran {
  1: i64 call, 2: i16 problem, 3: i16 code, 4: list<binary> rows, 5: binary signature,
  6: binary text, 7: string state, 8: optional i64 mark_term, 9: optional i64 mark_position,
  10: i64 waited_us, 11: i64 retry_after_us, 12: bool exchange_open, 13: optional i32 load
}

// The owner of a transaction no longer needs it; if it is still open, it is rolled back.
struct Release { 1: i64 exchange }

// A member's own view, as it answers a MemberCommand; `term` is its term, and the mark is the
// position of the last entry of its log.
struct Report {
  1: bool is_primary, 2: i64 term, 3: i64 mark_term, 4: i64 mark_position, 5: i64 fenced_term
}

// Requests proof of the current log position of a service's primary. With `duty_era` it also asks
// whether the VM may hold the service's duty, on behalf of a VM that knows that era of the store.
// With `command` it asks the holder of `member` to send it a MemberCommand, with a term if the
// command has one; older builds leave the report out of the answer.
struct Prove {
  1: i64 call, 2: string service_name, 3: bool known_only, 4: optional i64 duty_era,
  5: optional string member, 6: optional i16 command, 7: optional i64 command_term
}
// Response to Prove. `age_us` is negative if there is no proof; `member` is the primary that
// gave it. `may_hold_duty` is left out if it was not asked for, and `report` if the member was sent
// no command or did not answer it.
struct Proved {
  1: i64 call, 2: string member, 3: i64 term, 4: i64 position, 5: i64 age_us,
  6: optional bool may_hold_duty, 7: optional Report report
}

// Requests what is newer than the version and revision that the sender has.
struct CatalogPull {
  1: i64 call, 2: i64 catalog_version, 3: i64 members_revision, 4: i64 store_era
}
// `body` is zlib-compressed JSON: the configuration and the members' entries as stored on the
// platform, each entry as a list of name, revision and value. The configuration is null, or the list
// empty, if the receiver is not behind.
struct CatalogPush {
  1: i64 call, 2: i64 version, 3: binary body, 4: i64 members_revision, 5: i64 store_era
}

// Announces that a member was made primary. With `leaderless_ms` the member is the last primary that
// is known, it does not answer, and for that time no successor can be appointed safely. With
// `replacing_ms` it is the last primary too, and its successor is being chosen: for that time it gets
// no new work, also if it answers again.
struct Appointed {
  1: string service_name, 2: string member, 3: optional i32 leaderless_ms,
  4: optional i32 replacing_ms
}

// A VM's use of the limits of a group of teams, to the group's hub. `stamp_us` is the time of the
// sender, which the hub returns, and `grant_number` that of the last grant that arrived.
// `lent_ppb` is the fraction of the limits that is lent, in parts per billion, counted from
// `hub_stamp_us` of the hub; 0 lends nothing. The lists are parallel, and empty if all are 0: a
// team's number, its unused tokens, tokens given back, further ones wanted, and operations that wait
// for one. A `partial` report says nothing of the teams that it does not name.
struct QuotaReport {
  1: i16 group_number, 2: i64 stamp_us, 3: i64 grant_number, 4: i32 lent_ppb, 5: i64 hub_stamp_us,
  6: list<i32> teams, 7: list<i16> held, 8: list<i16> returned, 9: list<i16> wanted,
  10: list<i16> urgent, 11: i64 catalog_version, 12: bool leaving, 13: bool partial
}

// Answer to QuotaReport, or a request to lend if `number` is 0. The tokens last from
// `report_stamp_us` of the receiver. `retry_ms` is when a team's next token is expected if too few
// were given, and `not_extended` whether the tokens that it holds do not last as long as the given
// ones; those of a reported team that is not named do. Lists are empty if all are 0 or false.
// `lent_ppb` is the sum lent to the hub. With `released` the hub no longer uses what was lent.
struct QuotaGrant {
  1: i16 group_number, 2: i64 stamp_us, 3: i64 number, 4: i64 report_stamp_us, 5: list<i32> teams,
  6: list<i16> given, 7: list<i16> retry_ms, 8: list<bool> not_extended, 9: i64 catalog_version,
  10: i32 lent_ppb, 11: bool released
}

// A VM that restarted asks another one to drop what its earlier process had lent to it.
struct QuotaRecall { 1: i64 call }
// Answer to QuotaRecall: for how long tokens may last that were granted from such lends.
struct QuotaRecalled { 1: i64 call, 2: i64 left_us }
