//! Raft node of one member: raft-rs's `RawNode` and the replicated state, without I/O.
//!
//! The host passes in the time, messages from other members and client requests, and sends the returned
//! messages and answers. A request is answered once its entry is committed and applied. The writes of a
//! round are durable ([`LogStorage::keep`]) before its answers are returned.

mod apply;
mod membership_changes;
mod reads;
mod requests;
mod timers;

use std::collections::{BTreeMap, BTreeSet};

use raft::eraftpb::{Message, MessageType, Snapshot};
use raft::{Config, RawNode, SnapshotStatus, StateRole};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::lease::{Bounds, Command, Expiries, LeaseTable, Millis, Outcome};
use crate::log_storage::LogStorage;
use crate::membership::Membership;
use crate::protocol::{Answer, Status};
use crate::retry_pacing::RetryPacer;
use crate::shard_map::{NodeId, ShardMapChange};
use crate::state_machine::{LogCommand, ReplicatedState};
use crate::versioned_config::{BlockRules, ConfirmationTiming, ProposalOutcome, VersionedConfig};

/// Number of applied entries after which the log is compacted.
pub const COMPACTION_INTERVAL_ENTRIES: u64 = 1_000;

/// Tick, election and heartbeat intervals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RaftTiming {
    /// Length of a tick, in milliseconds.
    pub tick_ms: Millis,
    /// Ticks without a leader before a member campaigns. The timeout is randomized up to twice this.
    pub election_ticks: usize,
    /// Ticks between the heartbeats of a leader.
    pub heartbeat_ticks: usize,
    /// Maximum number of client requests that wait for a commit or a read confirmation.
    pub max_waiting: usize,
}

impl Default for RaftTiming {
    fn default() -> Self {
        RaftTiming { tick_ms: 100, election_ticks: 10, heartbeat_ticks: 3, max_waiting: 1024 }
    }
}

/// An event to be logged for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A leader was elected.
    Leader {
        /// Id of the leader.
        id: u64,
        /// Raft term.
        term: u64,
    },
    /// A lease command was applied.
    Applied {
        /// Log index of the entry.
        index: u64,
        /// The command.
        command: Command,
        /// Its result.
        outcome: Outcome,
    },
    /// A proposal of a configuration version was applied.
    Proposed {
        /// Log index of the entry.
        index: u64,
        /// Its result.
        outcome: ProposalOutcome,
    },
    /// A shard map change was applied.
    Copies {
        /// Log index of the entry.
        index: u64,
        /// The change.
        change: ShardMapChange,
    },
    /// A configuration version came into force.
    InForce {
        /// Number of the version.
        number: u64,
    },
    /// A membership change was applied.
    Members {
        /// Id of the changed member.
        id: u64,
        /// New role: `learner`, `voter` or `removed`.
        now: &'static str,
    },
}

/// Output of [`RaftNode::advance`].
#[derive(Debug, Default)]
pub struct RoundOutput {
    /// Messages to send to other members.
    pub messages: Vec<Message>,
    /// Answers to requests, by the request number that the host assigned.
    pub answers: Vec<(u64, Answer)>,
    /// Events to log.
    pub events: Vec<Event>,
}

#[derive(Serialize, Deserialize)]
struct Proposal {
    origin: Origin,
    req: u64,
    entry: LogCommand,
}

/// Identifies which run of which member proposed an entry. Request numbers restart with each run, so a
/// member id alone could match an entry of an earlier run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Origin {
    member: u64,
    start: u64,
}

/// A linearizable read.
enum ReadKind {
    Grants(Option<String>),
    Versions,
    Confirmation(u64),
    Table(Option<(NodeId, u64)>, u64),
}

/// Reads that wait for a majority to confirm the leader, and then for their index to be applied. All reads
/// received before a round are confirmed together.
struct PendingRead {
    asked: Vec<(u64, ReadKind)>,
    until: Millis,
    index: Option<u64>,
}

/// Maximum number of entries that a learner may lag behind the log when it is made a voter.
const MAX_PROMOTION_LAG_ENTRIES: u64 = 64;

/// The Raft node of one member of the group.
///
/// An error of [`RaftNode::advance`] is final: a write failed and may be lost. The host must exit the
/// process; a restart recovers the durable state.
pub struct RaftNode<S: LogStorage> {
    node: RawNode<S>,
    state: ReplicatedState,
    expiries: Expiries,
    bounds: Bounds,
    terms: ConfirmationTiming,
    guard: BlockRules,
    pace: RaftTiming,
    origin: Origin,
    waiting: BTreeSet<u64>,
    /// Whether a membership change was applied in this round. raft-rs rejects snapshots that lack the
    /// receiving member, so the snapshot has to be rebuilt.
    changed: bool,
    /// Request number and member id of the membership change in progress.
    changing: Option<(u64, u64)>,
    reads: BTreeMap<u64, PendingRead>,
    /// Reads received since the last round.
    queued_reads: Vec<(u64, ReadKind)>,
    batch: u64,
    /// When the pending version was applied or this member was elected, whichever is later, and whether
    /// bringing it into force was proposed.
    pending_since: Millis,
    forced: bool,
    proposed_expiries: BTreeSet<(String, u64, u64)>,
    /// When each replication node was last confirmed by this member as leader, and when it became leader.
    confirmed: BTreeMap<NodeId, Millis>,
    leads_since: Millis,
    /// Runs of nodes that were proposed to be marked down.
    proposed_down: BTreeSet<(NodeId, u64)>,
    /// Retry pacing per held task. Entries are removed with the grant.
    retry_pacers: BTreeMap<String, RetryPacer>,
    now: Millis,
    ticked: Millis,
    leader: u64,
    rng: ChaCha8Rng,
    /// Randomized election timeout in ticks, and the term and role it was drawn for.
    election_timeout: (usize, u64, StateRole),
    out: RoundOutput,
}

/// Parameters of a new [`RaftNode`].
pub struct RaftNodeConfig {
    /// Id of this member.
    pub id: u64,
    /// Number of this run, different from that of every earlier run. Also seeds the election timeouts.
    pub start: u64,
    /// Members that founded the group.
    pub founders: Membership,
    /// Tick, election and heartbeat intervals.
    pub pace: RaftTiming,
    /// Limits of the lease table.
    pub bounds: Bounds,
    /// Timing of configuration versions.
    pub terms: ConfirmationTiming,
    /// Rules that a configuration version may contain.
    pub guard: BlockRules,
}

impl<S: LogStorage> RaftNode<S> {
    /// Creates a node over `store`, which already contains the group's configuration, and replays its
    /// committed entries.
    pub fn new(begin: RaftNodeConfig, store: S, now: Millis) -> raft::Result<Self> {
        let RaftNodeConfig { id, start, founders, pace, bounds, terms, guard } = begin;
        let applied = store.initial_state()?.hard_state.commit.min(store.last_index()?);
        let config = Config {
            id,
            election_tick: pace.election_ticks,
            heartbeat_tick: pace.heartbeat_ticks,
            check_quorum: true,
            pre_vote: true,
            max_size_per_msg: 1 << 20,
            max_inflight_msgs: 256,
            // Committed entries are replayed below; raft-rs must not return them again.
            applied,
            ..Config::default()
        };
        config.validate()?;
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let node = RawNode::new(&config, store, &logger)?;
        let mut member = RaftNode {
            node,
            state: ReplicatedState { book: founders, ..ReplicatedState::default() },
            expiries: Expiries::default(),
            bounds,
            terms,
            guard,
            pace,
            origin: Origin { member: id, start },
            waiting: BTreeSet::new(),
            changed: false,
            changing: None,
            reads: BTreeMap::new(),
            queued_reads: Vec::new(),
            batch: 0,
            pending_since: now,
            forced: false,
            proposed_expiries: BTreeSet::new(),
            confirmed: BTreeMap::new(),
            leads_since: 0,
            proposed_down: BTreeSet::new(),
            retry_pacers: BTreeMap::new(),
            now,
            ticked: now,
            leader: 0,
            rng: ChaCha8Rng::seed_from_u64(start ^ id.rotate_left(32)),
            // Replaced before the first tick, because no member starts as leader.
            election_timeout: (0, 0, StateRole::Leader),
            out: RoundOutput::default(),
        };
        member.replay(applied)?;
        Ok(member)
    }

    /// Returns the id of this member.
    pub fn id(&self) -> u64 {
        self.node.raft.id
    }

    /// Returns the id of the leader known to this member; 0 if none.
    pub fn leader(&self) -> u64 {
        self.node.raft.leader_id
    }

    /// Returns whether this member is the leader.
    pub fn leads(&self) -> bool {
        self.node.raft.state == StateRole::Leader
    }

    /// Returns the lease table as applied by this member.
    pub fn table(&self) -> &LeaseTable {
        &self.state.leases
    }

    /// Returns the configuration versions as applied by this member.
    pub fn versions(&self) -> &VersionedConfig {
        &self.state.versions
    }

    /// Returns the membership as applied by this member.
    pub fn book(&self) -> &Membership {
        &self.state.book
    }

    /// Returns the storage.
    pub fn store(&self) -> &S {
        self.node.store()
    }

    /// Returns the status of this member. The host adds its counters.
    pub fn status(&self) -> Status {
        let raft = &self.node.raft;
        let voter = raft.prs().conf().voters().contains(raft.id);
        let role = match raft.state {
            StateRole::Leader => "leader",
            StateRole::Follower if !voter => "learner",
            StateRole::Follower => "follower",
            StateRole::Candidate | StateRole::PreCandidate => "candidate",
        };
        Status {
            id: raft.id,
            role: role.to_owned(),
            leader: raft.leader_id,
            term: raft.term,
            commit: raft.raft_log.committed,
            applied: raft.raft_log.applied,
            first: self.node.store().first_index().unwrap_or(0),
            grants: self.state.leases.grants().len(),
            book: self.state.book.clone(),
            figures: BTreeMap::new(),
        }
    }

    /// Starts a leadership transfer to the most advanced voter, for example before a shutdown.
    pub fn transfer_leadership(&mut self) {
        let others = self.state.book.members().values().filter(|m| m.voter && m.at.id != self.id());
        let matched = |id: &u64| self.node.raft.prs().get(*id).map_or(0, |p| p.matched);
        if let Some(next) = others.map(|m| m.at.id).max_by_key(matched) {
            self.node.transfer_leader(next);
        }
    }

    /// Processes a message from another member. Messages for other members are dropped, and so are messages
    /// that raft-rs does not expect from the network or would panic on.
    pub fn step(&mut self, message: Message) {
        let takes = match message.get_msg_type() {
            // These are local messages that no other member sends.
            MessageType::MsgPropose | MessageType::MsgReadIndex | MessageType::MsgTransferLeader => false,
            // raft-rs panics on a commit index beyond the log.
            MessageType::MsgHeartbeat => message.commit <= self.node.raft.raft_log.last_index(),
            MessageType::MsgSnapshot => decoded(message.get_snapshot()).is_ok(),
            _ => true,
        };
        if takes && message.to == self.id() {
            let _ = self.node.step(message);
        }
    }

    /// Reports that a message to a member could not be delivered, so that raft-rs probes it more slowly.
    pub fn unreachable(&mut self, id: u64) {
        self.node.report_unreachable(id);
    }

    /// Reports whether a snapshot was sent to a member completely.
    pub fn snapshot_sent(&mut self, id: u64, whole: bool) {
        self.node.report_snapshot(id, if whole { SnapshotStatus::Finish } else { SnapshotStatus::Failure });
    }

    /// Advances time to `now`, runs due ticks, proposes due expiries and returns the messages, answers and
    /// events of this round. Time never moves backwards.
    pub fn advance(&mut self, now: Millis) -> raft::Result<RoundOutput> {
        self.now = self.now.max(now);
        // After a long pause, at most two election timeouts are ticked.
        let most = 2 * self.pace.election_ticks as u64 * self.pace.tick_ms;
        self.ticked = self.ticked.max(self.now.saturating_sub(most));
        while self.ticked + self.pace.tick_ms <= self.now {
            self.ticked += self.pace.tick_ms;
            self.randomize_election_timeout();
            self.node.tick();
        }
        if self.leads() {
            for expire in self.expiries.expired(self.now) {
                if let Command::Expire { task, token, as_of } = &expire {
                    if self.proposed_expiries.insert((task.clone(), *token, *as_of)) {
                        // Proposed without an origin: no client waits for this entry.
                        let _ = self.propose(Origin::default(), 0, LogCommand::Lease(expire));
                    }
                }
            }
            self.promote();
            self.propose_down();
            self.propose_force();
            self.confirm_queued_reads();
        }
        while self.node.has_ready() {
            self.round()?;
        }
        self.answer_reads();
        Ok(std::mem::take(&mut self.out))
    }

    fn round(&mut self) -> raft::Result<()> {
        let mut ready = self.node.ready();
        if let Some(soft) = ready.ss() {
            self.role_changed(soft.leader_id);
        }
        for state in ready.read_states() {
            let number = state.request_ctx.as_slice().try_into().map(u64::from_be_bytes);
            if let Some(read) = number.ok().and_then(|req| self.reads.get_mut(&req)) {
                read.index = Some(state.index);
            }
        }
        // Raft allows a leader to send messages before its own write is durable. Clients are answered only
        // after the commit.
        self.out.messages.extend(ready.take_messages());
        let snapshot = (!ready.snapshot().is_empty()).then(|| ready.snapshot().clone());
        self.node.store().keep(snapshot.as_ref(), ready.entries(), ready.hs())?;
        if let Some(snapshot) = snapshot {
            // Snapshots come from other members. One that cannot be decoded is a bug, and keeping the old
            // table could grant a held lease again.
            self.state = decoded(&snapshot)?;
            self.expiries.restart(&self.state.leases, self.now);
        }
        let committed = ready.take_committed_entries();
        self.apply(committed)?;
        self.out.messages.extend(ready.take_persisted_messages());
        let mut light = self.node.advance(ready);
        if let Some(commit) = light.commit_index() {
            self.node.store().set_commit(commit)?;
        }
        self.out.messages.extend(light.take_messages());
        let committed = light.take_committed_entries();
        self.apply(committed)?;
        self.node.advance_apply();
        let applied = self.node.raft.raft_log.applied;
        let changed = std::mem::take(&mut self.changed);
        if changed || applied >= self.node.store().first_index()? + COMPACTION_INTERVAL_ENTRIES {
            self.node.store().compact(applied, self.snapshot_data())?;
        }
        Ok(())
    }
}

fn decoded(snapshot: &Snapshot) -> raft::Result<ReplicatedState> {
    serde_json::from_slice(snapshot.get_data())
        .map_err(|e| raft::Error::ConfigInvalid(format!("invalid state in snapshot: {e}")))
}
