//! Compatibility of stored and transmitted data: fixtures of earlier builds decode to the expected values,
//! which encode to the same bytes.
//!
//! `tests/data/` contains frames, settings files, and the tables of a member's store in text form, with one
//! `table key hex` line per item.

use notchdoor_coordination::config::{
    parse, parse_rules, parse_tasks, CopiesConfig, GroupConfig, Task, TasksConfig,
};
use notchdoor_coordination::holder::Drift;
use notchdoor_coordination::lease::{Bounds, Command, Grant, Outcome, Refusal};
use notchdoor_coordination::membership::{Handshake, MemberAddr, Membership};
use notchdoor_coordination::protocol::{Answer, LeaseInfo, Request, Status};
use notchdoor_coordination::raft_node::{RaftNode, RaftNodeConfig, RaftTiming};
use notchdoor_coordination::shard_map::{
    NodeInfo, ShardMap, ShardMapChange, ShardMapConfirmation, ShardMapOutcome, ShardMapParameters,
};
use notchdoor_coordination::state_machine::ReplicatedState;
use notchdoor_coordination::store::{DiskStore, Stage};
use notchdoor_coordination::versioned_config::{
    BlockRules, Confirmation, ConfirmationTiming, ProposalOutcome, Version, VersionInfo, VersionedConfig,
};
use notchdoor_coordination::wire::{encode, Decoder, Frame, Message};
use raft::eraftpb::{ConfState, Entry, MessageType, Snapshot};
use raft::Storage;
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");

fn data(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data").join(name)
}

fn fixture(name: &str) -> Vec<u8> {
    std::fs::read(data(name)).unwrap_or_else(|e| panic!("{name}: {e}"))
}

fn text(name: &str) -> String {
    String::from_utf8(fixture(name)).expect("the fixture must be UTF-8")
}

fn loopback(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn address(id: u64) -> MemberAddr {
    MemberAddr { id, peer: loopback(7100 + id as u16), client: loopback(7200 + id as u16) }
}

fn node(id: u64) -> NodeInfo {
    NodeInfo {
        id,
        name: format!("p{id}"),
        machine: format!("m{id}"),
        zone: "z".into(),
        peer: loopback(7300 + id as u16),
    }
}

fn rules() -> BlockRules {
    BlockRules { classes: ["batch".into()].into(), keys: ["k1".into()].into(), workers: ["w1".into()].into() }
}

fn book() -> Membership {
    let mut book = Membership::founding([(address(1), 101), (address(2), 102)]);
    book.add(address(3));
    book
}

fn grant(holder: &str, token: u64) -> Grant {
    Grant { holder: holder.into(), token, ttl_ms: 3_000, renewed_at: token + 1, revoked: false }
}

fn requests() -> Vec<Request> {
    let (task, holder) = ("warm".to_owned(), "p1:0a".to_owned());
    vec![
        Request::Lease(Command::Acquire { task: task.clone(), holder: holder.clone(), ttl_ms: 3_000 }),
        Request::Lease(Command::Renew { task: task.clone(), holder: holder.clone(), token: 7 }),
        Request::Lease(Command::Release { task: task.clone(), holder, token: 7 }),
        Request::Lease(Command::Revoke { task: task.clone(), token: 7 }),
        Request::Lease(Command::Expire { task, token: 7, as_of: 9 }),
        Request::Enlist { id: 4, number: u64::MAX },
        Request::List { task: None },
        Request::List { task: Some("warm".into()) },
        Request::Propose { base: 3, rules: rules() },
        Request::Versions,
        Request::Confirm { have: 3 },
        Request::Copies(ShardMapChange::Join {
            at: node(9),
            start: 2,
            shape: ShardMapParameters { shards: 4, copies: 3, least: 2 },
        }),
        Request::Copies(ShardMapChange::Down { id: 9, start: 2 }),
        Request::Copies(ShardMapChange::Drop { shard: 1, epoch: 5, by: 9, node: 8 }),
        Request::Copies(ShardMapChange::Caught { shard: 1, epoch: 5, by: 9, node: 8 }),
        Request::Copies(ShardMapChange::GiveUp { shard: 1, epoch: 5 }),
        Request::Table { node: Some((9, 2)), have: 6 },
        Request::Table { node: None, have: 0 },
        Request::Add(address(4)),
        Request::Remove { id: 4 },
        Request::Members,
        Request::Status,
        Request::Hello,
    ]
}

fn outcomes() -> Vec<Outcome> {
    vec![
        Outcome::Granted { token: 7, ttl_ms: 3_000 },
        Outcome::Renewed { token: 7, ttl_ms: 3_000 },
        Outcome::Released { token: 7 },
        Outcome::Expired { token: 7 },
        Outcome::Revoked { token: 7 },
        Outcome::Refused(Refusal::Held { holder: "p2".into(), token: 7 }),
        Outcome::Refused(Refusal::NotHolder { current: Some(8) }),
        Outcome::Refused(Refusal::NotHolder { current: None }),
        Outcome::Refused(Refusal::Revoked { token: 7 }),
        Outcome::Refused(Refusal::Overtaken),
        Outcome::Refused(Refusal::Full),
        Outcome::Refused(Refusal::Invalid("ttl_ms: from 500 to 60000".into())),
    ]
}

fn proposals() -> Vec<ProposalOutcome> {
    vec![
        ProposalOutcome::Pending { number: 4 },
        ProposalOutcome::Unchanged { number: 3 },
        ProposalOutcome::Stale { newest: 4 },
        ProposalOutcome::Busy { pending: 4 },
        ProposalOutcome::Invalid("block.keys: too many".into()),
    ]
}

fn versions() -> VersionedConfig {
    let mut versions = VersionedConfig::default();
    versions.propose(0, &rules());
    versions.force(1);
    versions.propose(1, &BlockRules::default());
    versions
}

fn shards() -> ShardMap {
    let shape = ShardMapParameters { shards: 2, copies: 2, least: 1 };
    let mut shards = ShardMap::default();
    for id in [8, 9] {
        shards.apply(&ShardMapChange::Join { at: node(id), start: 1, shape });
    }
    shards.apply(&ShardMapChange::Caught { shard: 0, epoch: 1, by: 8, node: 9 });
    shards
}

fn status() -> Status {
    Status {
        id: 1,
        role: "leader".into(),
        leader: 1,
        term: 4,
        commit: 12,
        applied: 11,
        first: 3,
        grants: 2,
        book: book(),
        figures: BTreeMap::from([("syncs".to_owned(), 6), ("asks".to_owned(), 9)]),
    }
}

fn answers() -> Vec<Answer> {
    let mut answers: Vec<Answer> =
        outcomes().into_iter().map(|outcome| Answer::Done { outcome, left_ms: Some(2_000) }).collect();
    answers.extend(proposals().into_iter().map(Answer::Proposed));
    let named = |number, rules| VersionInfo { number, rules };
    answers.extend([
        Answer::Done { outcome: Outcome::Expired { token: 7 }, left_ms: None },
        Answer::Held { holder: "p2".into(), left_ms: Some(900), again_ms: 1_000 },
        Answer::NotLeader { leader: Some(2), at: Some(loopback(7202)) },
        Answer::NotLeader { leader: None, at: None },
        Answer::Listing(vec![
            LeaseInfo { task: "warm".into(), grant: grant("p1", 7), left_ms: Some(800) },
            LeaseInfo {
                task: "probe".into(),
                grant: Grant { revoked: true, ..grant("p2", 8) },
                left_ms: None,
            },
        ]),
        Answer::Members(vec![(1, loopback(7201)), (3, loopback(7203))]),
        Answer::Status(Box::new(status())),
        Answer::Hello(Handshake::New { at: address(2), number: 102 }),
        Answer::Hello(Handshake::Live { founders: Membership::founding([(address(1), 101)]), book: book() }),
        Answer::Versions(versions()),
        Answer::Confirmed(Confirmation {
            good_ms: 2_000,
            current: named(1, Some(rules())),
            next: Some((named(2, None), 1_500)),
        }),
        Answer::Confirmed(Confirmation { good_ms: 2_000, current: named(1, None), next: None }),
        Answer::Copies(ShardMapOutcome::Done),
        Answer::Copies(ShardMapOutcome::Stale),
        Answer::Copies(ShardMapOutcome::Refused("copies.zone: 1 to 64 plain bytes".into())),
        Answer::Table(ShardMapConfirmation {
            good_ms: 2_000,
            version: 3,
            table: Some(Box::new(shards())),
            up: true,
        }),
        Answer::Table(ShardMapConfirmation { good_ms: 2_000, version: 3, table: None, up: false }),
        Answer::Changed,
        Answer::Enlisted(true),
        Answer::Refused("who is down is the leader's to say".into()),
        Answer::Later { retry_after_ms: 200 },
    ]);
    answers
}

fn peer_messages() -> Vec<Message> {
    let entry = Entry { term: 4, index: 12, data: b"entry".to_vec().into(), ..Default::default() };
    let mut append =
        Message { to: 2, from: 1, term: 4, log_term: 3, index: 11, commit: 10, ..Default::default() };
    append.set_msg_type(MessageType::MsgAppend);
    append.entries = vec![entry].into();
    let mut heartbeat = Message { to: 2, from: 1, term: 4, commit: 10, ..Default::default() };
    heartbeat.set_msg_type(MessageType::MsgHeartbeat);
    let mut vote = Message { to: 1, from: 2, term: 5, log_term: 4, index: 12, ..Default::default() };
    vote.set_msg_type(MessageType::MsgRequestVote);
    let mut snapshot = Snapshot { data: b"state".to_vec().into(), ..Default::default() };
    snapshot.mut_metadata().index = 12;
    snapshot.mut_metadata().term = 4;
    snapshot.mut_metadata().set_conf_state(ConfState::from((vec![1, 2], vec![3])));
    let mut install = Message { to: 3, from: 1, term: 4, ..Default::default() };
    install.set_msg_type(MessageType::MsgSnapshot);
    install.set_snapshot(snapshot);
    vec![append, heartbeat, vote, install]
}

/// Checks that the fixture decodes to `frames`, and that `frames` encode to the fixture.
fn same_frames(name: &str, frames: Vec<Frame>) {
    let mut bytes = Vec::new();
    frames.iter().for_each(|frame| encode(frame, &mut bytes));
    let stored = fixture(name);
    let mut decoder = Decoder::default();
    decoder.feed(&stored);
    for (place, frame) in frames.iter().enumerate() {
        let decoded = decoder.next_frame().unwrap_or_else(|e| panic!("{name}: {e}"));
        assert_eq!(decoded.as_ref(), Some(frame), "{name}: frame {place}");
    }
    assert_eq!((decoder.next_frame(), decoder.held()), (Ok(None), 0), "{name} contains trailing data");
    assert!(bytes == stored, "{name}: the encoding of the frames changed");
}

#[test]
fn client_requests_keep_their_encoding() {
    let frames = (1..).zip(requests()).map(|(req, request)| Frame::Ask { req, request });
    same_frames("requests.frames", frames.collect());
}

#[test]
fn member_answers_keep_their_encoding() {
    let frames = (1..).zip(answers()).map(|(req, answer)| Frame::Answer { req, answer });
    same_frames("answers.frames", frames.collect());
}

#[test]
fn raft_messages_keep_their_encoding() {
    same_frames("peer.frames", peer_messages().into_iter().map(Frame::Peer).collect());
}

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let folder = std::env::temp_dir().join(format!("notchdoor-forms-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        Folder(folder)
    }

    fn store(&self) -> PathBuf {
        self.0.join("member.redb")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let pairs = text.as_bytes().chunks(2).map(|pair| std::str::from_utf8(pair).expect("ASCII"));
    pairs.map(|pair| u8::from_str_radix(pair, 16).expect("hexadecimal")).collect()
}

/// Formats the tables of a store as text.
fn dump(file: &Path) -> String {
    let database = Database::open(file).unwrap();
    let txn = database.begin_read().unwrap();
    let mut lines = String::new();
    for item in txn.open_table(META).unwrap().iter().unwrap() {
        let (key, value) = item.unwrap();
        lines += &format!("meta {} {}\n", key.value(), hex(value.value()));
    }
    for item in txn.open_table(ENTRIES).unwrap().iter().unwrap() {
        let (key, value) = item.unwrap();
        lines += &format!("entries {} {}\n", key.value(), hex(value.value()));
    }
    lines
}

/// Creates a store with these tables, without using the crate's own code.
fn restore(file: &Path, lines: &str) {
    let database = Database::create(file).unwrap();
    let txn = database.begin_write().unwrap();
    {
        let mut meta = txn.open_table(META).unwrap();
        let mut entries = txn.open_table(ENTRIES).unwrap();
        for line in lines.lines() {
            let [table, key, value] = line.split(' ').collect::<Vec<_>>()[..] else { panic!("{line}") };
            match table {
                "meta" => drop(meta.insert(key, unhex(value).as_slice()).unwrap()),
                _ => drop(entries.insert(key.parse::<u64>().unwrap(), unhex(value).as_slice()).unwrap()),
            }
        }
    }
    txn.commit().unwrap();
}

fn member(store: DiskStore, founders: Membership, now: u64) -> RaftNode<DiskStore> {
    let begin = RaftNodeConfig {
        id: 1,
        start: 7,
        founders,
        pace: RaftTiming::default(),
        bounds: Bounds::default(),
        terms: ConfirmationTiming::default(),
        guard: rules(),
    };
    RaftNode::new(begin, store, now).unwrap()
}

struct Alone {
    member: RaftNode<DiskStore>,
    now: u64,
    req: u64,
}

impl Alone {
    fn run(&mut self, ms: u64) {
        for _ in 0..ms / 10 {
            self.now += 10;
            self.member.advance(self.now).unwrap();
        }
    }

    fn ask(&mut self, request: Request) {
        self.req += 1;
        if let Some(answer) = self.member.ask(self.req, request.clone()) {
            panic!("unexpected immediate answer to {request:?}: {answer:?}");
        }
        self.run(20);
    }
}

/// Runs a single-member group that logs one entry of each kind, except membership changes.
fn logged(file: &Path) -> Alone {
    let (store, stage) = DiskStore::open(file, 1, 101).unwrap();
    assert_eq!(stage, Stage::New);
    let founders = Membership::founding([(address(1), 101)]);
    store.begin(&founders).unwrap();
    let mut alone = Alone { member: member(store, founders, 0), now: 0, req: 0 };
    alone.run(3_000);
    assert!(alone.member.leads());
    let lease = |task: &str| Command::Acquire { task: task.into(), holder: "p1".into(), ttl_ms: 60_000 };
    alone.ask(Request::Lease(lease("warm")));
    alone.ask(Request::Lease(lease("probe")));
    alone.ask(Request::Lease(lease("sweep")));
    let token = |alone: &Alone, task: &str| alone.member.table().grants()[task].token;
    let (task, holder) = ("warm".to_owned(), "p1".to_owned());
    alone.ask(Request::Lease(Command::Renew { task: task.clone(), holder, token: token(&alone, "warm") }));
    alone.ask(Request::Lease(Command::Revoke { task, token: token(&alone, "warm") }));
    let (task, holder) = ("probe".to_owned(), "p1".to_owned());
    alone.ask(Request::Lease(Command::Release { task, holder, token: token(&alone, "probe") }));
    let short = Command::Acquire { task: "short".into(), holder: "p2".into(), ttl_ms: 500 };
    alone.ask(Request::Lease(short));
    alone.run(1_000); // The leader logs the expiry of the lease.
    alone.ask(Request::Propose { base: 0, rules: rules() });
    alone.run(4_000); // The leader logs that the version is in force.
    alone.ask(Request::Propose { base: 1, rules: BlockRules::default() });
    alone.ask(Request::Enlist { id: 1, number: 101 });
    let shape = ShardMapParameters { shards: 2, copies: 2, least: 1 };
    for id in [8, 9] {
        alone.ask(Request::Copies(ShardMapChange::Join { at: node(id), start: 1, shape }));
    }
    alone.ask(Request::Copies(ShardMapChange::Caught { shard: 0, epoch: 1, by: 8, node: 9 }));
    alone.ask(Request::Copies(ShardMapChange::Drop { shard: 0, epoch: 2, by: 8, node: 9 }));
    alone.ask(Request::Copies(ShardMapChange::GiveUp { shard: 0, epoch: 3 }));
    alone
}

fn state(member: &RaftNode<DiskStore>) -> ReplicatedState {
    serde_json::from_slice(&member.snapshot_data()).unwrap()
}

/// Checks the state that results from the log written by [`logged`].
fn check_logged(state: &ReplicatedState) {
    let grants = state.leases.grants();
    let tasks: Vec<_> = grants.keys().map(String::as_str).collect();
    assert_eq!(tasks, ["sweep", "warm"]);
    let warm = Grant { holder: "p1".into(), token: 2, ttl_ms: 60_000, renewed_at: 5, revoked: true };
    let sweep = Grant { holder: "p1".into(), token: 4, ttl_ms: 60_000, renewed_at: 4, revoked: false };
    assert_eq!((&grants["warm"], &grants["sweep"]), (&warm, &sweep));
    assert_eq!(state.leases.applied(), 9, "the expiry must be the last lease entry");
    assert_eq!(state.book.members()[&1].at, address(1));
    assert_eq!((state.book.members()[&1].number, state.book.members()[&1].voter), (Some(101), true));
    assert_eq!(state.versions.current(), &Version { number: 1, rules: rules() });
    assert_eq!(state.versions.next(), Some(&Version { number: 2, rules: BlockRules::default() }));
    let shards = &state.shards;
    assert_eq!(shards.shape(), Some(ShardMapParameters { shards: 2, copies: 2, least: 1 }));
    assert_eq!(shards.nodes().values().map(|n| n.at.clone()).collect::<Vec<_>>(), [node(8), node(9)]);
    assert!(shards.nodes().values().all(|n| n.start == 1 && n.up));
    let first = &shards.shards()[0];
    assert_eq!((first.epoch, first.primary, first.in_sync.clone()), (3, Some(8), BTreeSet::from([8])));
    assert_eq!(first.joining, BTreeSet::from([9]));
}

#[test]
fn stored_log_is_replayed_and_the_same_run_writes_the_same_bytes() {
    let folder = Folder::new("log");
    let run = logged(&folder.store());
    let expected = state(&run.member);
    drop(run);
    assert_eq!(dump(&folder.store()), text("store-log.txt"));
    let folder = Folder::new("log-old");
    restore(&folder.store(), &text("store-log.txt"));
    let (store, stage) = DiskStore::open(&folder.store(), 1, 999).unwrap();
    let founders = Membership::founding([(address(1), 101)]);
    assert_eq!((stage, store.number()), (Stage::Member(founders.clone()), 101));
    let hard = store.initial_state().unwrap().hard_state;
    let replayed = member(store, founders, 0);
    check_logged(&state(&replayed));
    // Entries committed after the last write are still in the log, and are committed again after the
    // restart.
    assert_eq!((hard.term, hard.vote), (1, 1));
    assert_eq!(state(&replayed).leases, expected.leases);
}

#[test]
fn compacted_store_is_read_and_the_same_run_writes_the_same_bytes() {
    let folder = Folder::new("compacted");
    let mut run = logged(&folder.store());
    // A membership change compacts the log at once.
    run.ask(Request::Add(address(2)));
    let sweep = Command::Renew { task: "sweep".into(), holder: "p1".into(), token: 4 };
    run.ask(Request::Lease(sweep));
    let snapshot = run.member.store().snapshot(0, 0).unwrap();
    drop(run);
    assert_eq!(dump(&folder.store()), text("store-compacted.txt"));
    assert!(snapshot.get_data() == fixture("snapshot.json"));
    let folder = Folder::new("compacted-old");
    restore(&folder.store(), &text("store-compacted.txt"));
    let (store, stage) = DiskStore::open(&folder.store(), 1, 999).unwrap();
    let founders = Membership::founding([(address(1), 101)]);
    assert_eq!(stage, Stage::Member(founders));
    let raft_state = store.initial_state().unwrap();
    assert_eq!((raft_state.conf_state.voters, raft_state.conf_state.learners), (vec![1], vec![2]));
    let old = store.snapshot(0, 0).unwrap();
    assert_eq!((old.get_metadata().index, old.get_metadata().term), (19, 1));
    assert_eq!((store.first_index().unwrap(), store.last_index().unwrap()), (20, 20));
}

#[test]
fn snapshot_is_decoded_and_encoded_to_the_same_bytes() {
    let stored = fixture("snapshot.json");
    let state: ReplicatedState = serde_json::from_slice(&stored).unwrap();
    check_logged(&state);
    assert_eq!((state.book.highest(), state.book.members()[&2].at), (2, address(2)));
    assert_eq!((state.book.members()[&2].number, state.book.members()[&2].voter), (None, false));
    assert_eq!(serde_json::to_vec(&state).unwrap(), stored);
}

#[test]
fn member_settings_keep_their_keys() {
    let drift = Drift { rate_ppm: 5_000, margin_ms: 80 };
    let member = |id, host: [u16; 8]| MemberAddr {
        id,
        peer: (host, 7100 + id as u16).into(),
        client: (host, 7200 + id as u16).into(),
    };
    let expected = GroupConfig {
        id: 2,
        data: "m2".into(),
        members: vec![address(1), address(2), member(3, [0, 0, 0, 0, 0, 0, 0, 1])],
        pace: RaftTiming { tick_ms: 50, election_ticks: 12, heartbeat_ticks: 4, ..RaftTiming::default() },
        bounds: Bounds { min_ttl_ms: 600, max_ttl_ms: 30_000, max_tasks: 512, ..Bounds::default() },
        drift,
        terms: ConfirmationTiming { within_ms: 5_000, drift },
        guard: BlockRules {
            classes: ["batch".into(), "report".into()].into(),
            keys: ["k1".into()].into(),
            workers: ["w1".into(), "w2".into()].into(),
        },
    };
    assert_eq!(parse("member.toml", &text("member.toml")).unwrap(), expected);
}

#[test]
fn proxy_settings_keep_their_keys() {
    let task = |name: &str, ttl_ms, port, path: &str, every_ms| Task {
        name: name.into(),
        ttl_ms,
        call: loopback(port),
        path: path.into(),
        every_ms,
    };
    let expected = TasksConfig {
        members: vec![(1, loopback(7201)), (2, loopback(7202))],
        tasks: vec![task("warm", 2_000, 9000, "/warm", 250), task("probe", 5_000, 9001, "/", 1_000)],
        drift: Drift { rate_ppm: 5_000, margin_ms: 80 },
        guard: Some(BlockRules { classes: ["batch".into()].into(), ..BlockRules::default() }),
        copies: Some(CopiesConfig {
            machine: "m1".into(),
            zone: "z1".into(),
            listen: ([0, 0, 0, 0], 7301).into(),
            peer: Some(loopback(7301)),
            data: "copies".into(),
            shards: 16,
            copies: 4,
            least: 3,
        }),
    };
    assert_eq!(parse_tasks("proxy.toml", &text("proxy.toml")).unwrap(), expected);
}

#[test]
fn rules_file_keeps_its_keys() {
    let expected = BlockRules {
        classes: ["batch".into(), "report".into()].into(),
        keys: ["k1".into()].into(),
        workers: ["w1".into()].into(),
    };
    assert_eq!(parse_rules("rules.toml", &text("rules.toml"), None), Ok(expected));
}
