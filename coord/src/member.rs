//! One member of the lease group: raft-rs's `RawNode` with the lease table, without I/O.
//!
//! The host feeds it the time, messages from other members and requests from clients; it
//! gives back messages to send and answers to requests. A request is answered only once its
//! entry is committed and applied, that is once a majority has it on disk; the storage's
//! `keep` is called before the messages of the same round are handed out.

use std::collections::BTreeSet;

use raft::eraftpb::{ConfChangeV2, ConfState, Entry, EntryType, HardState, Message, Snapshot};
use raft::storage::MemStorage;
use raft::{Config, RawNode, StateRole, Storage};
use raft_proto::ConfChangeI;
use serde::{Deserialize, Serialize};

use crate::lease::{Bounds, Command, Expiries, LeaseTable, Millis, Outcome};

/// A member's storage: raft-rs's `Storage` to read, and one call to keep a round's writes.
pub trait Keep: Storage {
    /// Keeps a snapshot, entries and the hard state of one round, durably, before returning.
    fn keep(
        &self,
        snapshot: Option<&Snapshot>,
        entries: &[Entry],
        hard: Option<&HardState>,
    ) -> raft::Result<()>;
    /// Keeps the commit index learnt after a round.
    fn keep_commit(&self, commit: u64) -> raft::Result<()>;
    /// Keeps the configuration after a change was applied.
    fn keep_conf(&self, conf: ConfState) -> raft::Result<()>;
    /// Replaces the log up to `index`, which is applied, by a snapshot of the table, `data`.
    /// A store that cannot hand the data to a member that fell behind keeps its log instead.
    fn compact(&self, index: u64, data: Vec<u8>) -> raft::Result<()>;
}

impl Keep for MemStorage {
    fn keep(
        &self,
        snapshot: Option<&Snapshot>,
        entries: &[Entry],
        hard: Option<&HardState>,
    ) -> raft::Result<()> {
        let mut core = self.wl();
        if let Some(snapshot) = snapshot {
            core.apply_snapshot(snapshot.clone())?;
        }
        core.append(entries)?;
        if let Some(hard) = hard {
            core.set_hardstate(hard.clone());
        }
        Ok(())
    }

    fn keep_commit(&self, commit: u64) -> raft::Result<()> {
        self.wl().mut_hard_state().commit = commit;
        Ok(())
    }

    fn keep_conf(&self, conf: ConfState) -> raft::Result<()> {
        self.wl().set_conf_state(conf);
        Ok(())
    }

    /// raft-rs's memory store makes snapshots without data, which would hand a member that fell
    /// behind an empty table; the lab's runs are short, so it keeps the whole log.
    fn compact(&self, _index: u64, _data: Vec<u8>) -> raft::Result<()> {
        Ok(())
    }
}

/// Entries applied between two compactions.
pub const COMPACT_EVERY: u64 = 1_000;

/// The pace of a member: how often it ticks and how many ticks make an election or a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// Milliseconds a tick.
    pub tick_ms: Millis,
    /// Ticks without a leader before a member campaigns (raft-rs randomises up to twice this).
    pub election_ticks: usize,
    /// Ticks between a leader's heartbeats.
    pub heartbeat_ticks: usize,
    /// Requests waiting for their entry to commit, at most.
    pub max_waiting: usize,
}

impl Default for Pace {
    fn default() -> Self {
        Pace { tick_ms: 100, election_ticks: 10, heartbeat_ticks: 3, max_waiting: 1024 }
    }
}

/// What a client is told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The entry was applied; with how long the task has left, as far as this member knows.
    Done {
        /// What applying it did.
        outcome: Outcome,
        /// Milliseconds until the task is free, when it is held.
        left_ms: Option<Millis>,
    },
    /// Ask the leader, if one is known.
    NotLeader {
        /// The leader's id.
        leader: Option<u64>,
    },
    /// Too much is waiting, or leadership was lost before the entry committed: ask again then.
    Later {
        /// When to ask again.
        retry_after_ms: Millis,
    },
}

/// What a member did that operators are told of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A new leader is known.
    Leader {
        /// Its id.
        id: u64,
        /// Its term.
        term: u64,
    },
    /// An entry was applied.
    Applied {
        /// The entry's index.
        index: u64,
        /// The command.
        command: Command,
        /// What it did.
        outcome: Outcome,
    },
}

/// What a round of [`Member::advance`] hands to the host.
#[derive(Debug, Default)]
pub struct Out {
    /// Messages for other members.
    pub messages: Vec<Message>,
    /// Answers to requests, by the number the host gave them.
    pub answers: Vec<(u64, Answer)>,
    /// Things to log.
    pub events: Vec<Event>,
}

#[derive(Serialize, Deserialize)]
struct Proposal {
    origin: u64,
    req: u64,
    command: Command,
}

/// One member of the group.
pub struct Member<S: Keep> {
    node: RawNode<S>,
    table: LeaseTable,
    expiries: Expiries,
    bounds: Bounds,
    pace: Pace,
    waiting: BTreeSet<u64>,
    expiring: BTreeSet<(String, u64, u64)>,
    now: Millis,
    ticked: Millis,
    leader: u64,
    out: Out,
}

impl<S: Keep> Member<S> {
    /// A member `id` over `store`, which holds the group's configuration already.
    pub fn new(id: u64, store: S, pace: Pace, bounds: Bounds, now: Millis) -> raft::Result<Self> {
        let applied = store.initial_state()?.hard_state.commit.min(store.last_index()?);
        let config = Config {
            id,
            election_tick: pace.election_ticks,
            heartbeat_tick: pace.heartbeat_ticks,
            check_quorum: true,
            pre_vote: true,
            max_size_per_msg: 1 << 20,
            max_inflight_msgs: 256,
            // What the table holds after replay, so that raft-rs does not hand it over again.
            applied,
            ..Config::default()
        };
        config.validate()?;
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let node = RawNode::new(&config, store, &logger)?;
        let mut member = Member {
            node,
            table: LeaseTable::default(),
            expiries: Expiries::default(),
            bounds,
            pace,
            waiting: BTreeSet::new(),
            expiring: BTreeSet::new(),
            now,
            ticked: now,
            leader: 0,
            out: Out::default(),
        };
        member.replay(applied)?;
        Ok(member)
    }

    /// Applies what the store has committed already: the table after a restart, disk kept. The
    /// table of the kept snapshot first, since compaction dropped the entries that made it.
    fn replay(&mut self, upto: u64) -> raft::Result<()> {
        let snapshot = self.node.store().snapshot(0, 0)?;
        if !snapshot.get_data().is_empty() {
            match serde_json::from_slice::<LeaseTable>(snapshot.get_data()) {
                Ok(table) => self.table = table,
                Err(e) => return Err(raft::Error::ConfigInvalid(format!("the kept snapshot's table: {e}"))),
            }
        }
        let first = self.node.store().first_index()?;
        if upto >= first {
            let entries =
                self.node.store().entries(first, upto + 1, None, raft::GetEntriesContext::empty(false))?;
            self.apply(entries);
        }
        self.out = Out::default();
        Ok(())
    }

    /// This member's id.
    pub fn id(&self) -> u64 {
        self.node.raft.id
    }

    /// The leader as this member knows it; 0 for none.
    pub fn leader(&self) -> u64 {
        self.node.raft.leader_id
    }

    /// Whether this member leads now.
    pub fn leads(&self) -> bool {
        self.node.raft.state == StateRole::Leader
    }

    /// The lease table as applied here.
    pub fn table(&self) -> &LeaseTable {
        &self.table
    }

    /// Feeds a message from another member. A malformed or stray one is dropped by raft-rs.
    pub fn step(&mut self, message: Message) {
        let _ = self.node.step(message);
    }

    /// Takes a client's request numbered `req`. Answers at once when this member cannot take
    /// it; otherwise the answer comes from a later [`Member::advance`].
    pub fn ask(&mut self, req: u64, command: Command) -> Option<Answer> {
        if !self.leads() {
            let leader = Some(self.leader()).filter(|&l| l != 0);
            return Some(Answer::NotLeader { leader });
        }
        if self.waiting.len() >= self.pace.max_waiting || self.waiting.contains(&req) {
            return Some(Answer::Later { retry_after_ms: self.pace.tick_ms * 2 });
        }
        let data = serde_json::to_vec(&Proposal { origin: self.id(), req, command }).unwrap_or_default();
        match self.node.propose(Vec::new(), data) {
            Ok(()) => {
                self.waiting.insert(req);
                None
            }
            Err(_) => Some(Answer::Later { retry_after_ms: self.pace.tick_ms * 2 }),
        }
    }

    /// Proposes a change of the group's members (one step at a time).
    pub fn change(&mut self, change: ConfChangeV2) -> raft::Result<()> {
        self.node.propose_conf_change(Vec::new(), change)
    }

    /// Moves time to `now` (never back), ticks what is due, proposes the expiries that the
    /// leader's clock has reached, and hands out one round of writes, messages and answers.
    pub fn advance(&mut self, now: Millis) -> raft::Result<Out> {
        self.now = self.now.max(now);
        // After a long pause, more ticks than two elections' worth change nothing but the time.
        let most = 2 * self.pace.election_ticks as u64 * self.pace.tick_ms;
        self.ticked = self.ticked.max(self.now.saturating_sub(most));
        while self.ticked + self.pace.tick_ms <= self.now {
            self.ticked += self.pace.tick_ms;
            self.node.tick();
        }
        if self.leads() {
            for expire in self.expiries.expired(self.now) {
                if let Command::Expire { task, token, as_of } = &expire {
                    if self.expiring.insert((task.clone(), *token, *as_of)) {
                        // Origin 0 is no member's: the entry answers no client's request.
                        let data = Proposal { origin: 0, req: 0, command: expire.clone() };
                        let _ = self.node.propose(Vec::new(), serde_json::to_vec(&data).unwrap_or_default());
                    }
                }
            }
        }
        while self.node.has_ready() {
            self.round()?;
        }
        Ok(std::mem::take(&mut self.out))
    }

    fn round(&mut self) -> raft::Result<()> {
        let mut ready = self.node.ready();
        if let Some(soft) = ready.ss() {
            self.role_changed(soft.leader_id);
        }
        // A leader may send before it keeps (raft-rs's rule); what answers a client waits for commit.
        self.out.messages.extend(ready.take_messages());
        let snapshot = (!ready.snapshot().is_empty()).then(|| ready.snapshot().clone());
        self.node.store().keep(snapshot.as_ref(), ready.entries(), ready.hs())?;
        if let Some(snapshot) = snapshot {
            // A snapshot comes from a member of the group; one whose table does not decode is a
            // bug of ours, and going on with the old table would grant what others hold.
            let table = serde_json::from_slice::<LeaseTable>(snapshot.get_data())
                .map_err(|e| raft::Error::ConfigInvalid(format!("a snapshot's table: {e}")))?;
            self.table = table;
            self.expiries.restart(&self.table, self.now);
        }
        let committed = ready.take_committed_entries();
        self.apply(committed);
        self.out.messages.extend(ready.take_persisted_messages());
        let mut light = self.node.advance(ready);
        if let Some(commit) = light.commit_index() {
            self.node.store().keep_commit(commit)?;
        }
        self.out.messages.extend(light.take_messages());
        let committed = light.take_committed_entries();
        self.apply(committed);
        self.node.advance_apply();
        let applied = self.node.raft.raft_log.applied;
        if applied >= self.node.store().first_index()? + COMPACT_EVERY {
            self.node.store().compact(applied, self.snapshot_data())?;
        }
        Ok(())
    }

    fn role_changed(&mut self, leader: u64) {
        if leader == self.leader {
            return;
        }
        self.leader = leader;
        if leader != 0 {
            self.out.events.push(Event::Leader { id: leader, term: self.node.raft.term });
        }
        if leader == self.id() {
            // What the last leader counted is lost with it: every grant runs a full TTL again.
            self.expiries.restart(&self.table, self.now);
            self.expiring.clear();
        } else {
            // Entries proposed here may still commit under the new leader; the client asks
            // again, and acquire, renew and release are each safe to repeat.
            let lost = std::mem::take(&mut self.waiting);
            let wait = self.pace.tick_ms * self.pace.election_ticks as u64;
            self.out
                .answers
                .extend(lost.into_iter().map(|req| (req, Answer::Later { retry_after_ms: wait })));
        }
    }

    fn apply(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            match entry.get_entry_type() {
                EntryType::EntryNormal if entry.get_data().is_empty() => {}
                EntryType::EntryNormal => self.apply_command(&entry),
                EntryType::EntryConfChangeV2 => self.apply_change::<ConfChangeV2>(&entry),
                EntryType::EntryConfChange => self.apply_change::<raft::eraftpb::ConfChange>(&entry),
            }
        }
    }

    /// Applies a change of members, in either of raft-rs's two forms, and keeps the new configuration.
    fn apply_change<C: ConfChangeI + protobuf::Message>(&mut self, entry: &Entry) {
        if let Ok(change) = C::parse_from_bytes(entry.get_data()) {
            if let Ok(conf) = self.node.apply_conf_change(&change) {
                let _ = self.node.store().keep_conf(conf);
            }
        }
    }

    fn apply_command(&mut self, entry: &Entry) {
        let Ok(proposal) = serde_json::from_slice::<Proposal>(entry.get_data()) else { return };
        let outcome = self.table.apply(entry.index, &proposal.command, &self.bounds);
        let task = task_of(&proposal.command);
        self.expiries.follow(task, &outcome, &self.table, self.now);
        if let Command::Expire { task, token, as_of } = &proposal.command {
            self.expiring.remove(&(task.clone(), *token, *as_of));
        }
        if proposal.origin == self.id() && self.waiting.remove(&proposal.req) {
            let left_ms = self.expiries.left(task, self.now);
            self.out.answers.push((proposal.req, Answer::Done { outcome: outcome.clone(), left_ms }));
        }
        self.out.events.push(Event::Applied { index: entry.index, command: proposal.command, outcome });
    }

    /// The applied table as a snapshot's bytes, for compaction and for members that fall behind.
    pub fn snapshot_data(&self) -> Vec<u8> {
        serde_json::to_vec(&self.table).unwrap_or_default()
    }
}

/// The task an entry is about.
pub fn task_of(command: &Command) -> &str {
    match command {
        Command::Acquire { task, .. }
        | Command::Renew { task, .. }
        | Command::Release { task, .. }
        | Command::Expire { task, .. } => task,
    }
}
