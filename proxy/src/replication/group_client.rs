//! The node's client of the lease group: joins the group, has the shard map confirmed at an interval, and proposes the
//! changes to it that a primary needs.

use super::ReplicationRuntime;
use crate::group::ask;
use async_channel::Receiver;
use async_io::Timer;
use notchdoor_coordination::lease::Millis;
use notchdoor_coordination::protocol::{Answer, Request};
use notchdoor_coordination::shard_map::{NodeId, ShardMapChange, ShardMapConfirmation, ShardMapOutcome};
use notchdoor_replication::ReplicatedState;
use std::rc::Rc;
use std::time::Duration;

/// Interval of requests until the first confirmation, which says how long it is valid.
const INITIAL_INTERVAL_MS: Millis = 500;
const MIN_INTERVAL_MS: Millis = 50;
/// Timeout of a request to the group.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Identifies a requested change, which is not sent again before the shard map shows the group's decision on it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ChangeKey {
    shard: u32,
    epoch: u64,
    node: NodeId,
    into_sync: bool,
}

/// How far a requested change has come.
#[derive(Clone, Copy, Debug)]
pub(super) enum ChangeProgress {
    /// The group has not answered it.
    Unanswered,
    /// The group answered it at this time. A shard map that is asked for later shows the decision.
    AnsweredAt(Millis),
}

impl ChangeKey {
    fn of(change: &ShardMapChange) -> Option<ChangeKey> {
        let (shard, epoch, node, into_sync) = match change {
            ShardMapChange::Drop { shard, epoch, node, .. } => (*shard, *epoch, *node, false),
            ShardMapChange::Caught { shard, epoch, node, .. } => (*shard, *epoch, *node, true),
            _ => return None,
        };
        Some(ChangeKey { shard, epoch, node, into_sync })
    }
}

/// This node's registration with the group.
struct Membership {
    start: u64,
    joined: bool,
    interval_ms: Millis,
}

/// When to send the next request to the group.
enum Next {
    AtOnce,
    AfterInterval,
    /// The group refuses this node.
    Never,
}

impl<C: ReplicatedState> ReplicationRuntime<C> {
    /// Queues a change for the group, unless the same change was requested and the shard map does not show the decision
    /// yet. Dropped if the queue is full; the node asks for it again.
    pub(super) fn queue_change(&self, change: ShardMapChange) {
        let key = ChangeKey::of(&change);
        let mut requested = self.requested_changes.borrow_mut();
        if key.is_some_and(|key| requested.contains_key(&key)) {
            return;
        }
        if self.change_queue.try_send(change).is_ok() {
            requested.extend(key.map(|key| (key, ChangeProgress::Unanswered)));
        }
    }

    /// Sends queued changes to the group, one at a time.
    pub(super) async fn send_changes(self: Rc<Self>, changes: Receiver<ShardMapChange>) {
        while let Ok(change) = changes.recv().await {
            let answer =
                ask::leader(&self.group_endpoints, &Request::Copies(change.clone()), ANSWER_TIMEOUT).await;
            log::debug!("copies: shard map change {change:?}: {answer:?}");
            if let Some(key) = ChangeKey::of(&change) {
                let mut requested = self.requested_changes.borrow_mut();
                match answer {
                    Ok(_) => requested.insert(key, ChangeProgress::AnsweredAt(self.clock.now())),
                    Err(_) => requested.remove(&key),
                };
            }
        }
    }

    /// Forgets the changes that the group had answered when it was asked, at `sent`, to confirm the shard map.
    fn forget_confirmed_changes(&self, sent: Millis) {
        let is_open = |progress: &ChangeProgress| match progress {
            ChangeProgress::Unanswered => true,
            ChangeProgress::AnsweredAt(at) => *at >= sent,
        };
        self.requested_changes.borrow_mut().retain(|_, progress| is_open(progress));
    }

    /// Joins the group and has it confirm the shard map at an interval, until the group refuses this node.
    pub(super) async fn confirm_shard_map(self: Rc<Self>, start: u64) {
        let mut membership = Membership { start, joined: false, interval_ms: INITIAL_INTERVAL_MS };
        loop {
            if let Some(start) = self.drive_restart() {
                (membership.start, membership.joined) = (start, false);
            }
            let sent = self.clock.now();
            let answer = self.ask_group(&membership).await;
            self.log_reached(&answer);
            let next = match answer {
                Ok(answer) => self.answered(sent, answer, &mut membership),
                Err(_) => Next::AfterInterval,
            };
            match next {
                Next::AtOnce => {}
                Next::AfterInterval => {
                    let spent = Duration::from_millis(self.clock.now() - sent);
                    Timer::after(Duration::from_millis(membership.interval_ms).saturating_sub(spent)).await;
                }
                Next::Never => return,
            }
        }
    }

    async fn ask_group(&self, membership: &Membership) -> Result<Answer, String> {
        let participating = self.participating.get();
        let request = if membership.joined || !participating {
            // A request that names the node counts as its heartbeat. A node that waits for its restart sends none: it only
            // reads the map, to route the requests of its own process.
            let node = participating.then_some((self.address.id, membership.start));
            Request::Table { node, have: self.node.borrow().shard_map().version() }
        } else {
            let (at, shape) = (self.address.clone(), self.config.shape());
            Request::Copies(ShardMapChange::Join { at, start: membership.start, shape })
        };
        let limit = Duration::from_millis(membership.interval_ms * 3).min(ANSWER_TIMEOUT);
        ask::leader(&self.group_endpoints, &request, limit).await
    }

    fn log_reached(&self, answer: &Result<Answer, String>) {
        let reached = Some(answer.is_ok());
        if self.group_reached.replace(reached) == reached {
            return;
        }
        match answer {
            Ok(_) => log::info!("copies: connected to the lease group"),
            Err(why) => log::warn!("copies: cannot reach the lease group: {why}"),
        }
    }

    fn answered(self: &Rc<Self>, sent: Millis, answer: Answer, membership: &mut Membership) -> Next {
        match answer {
            Answer::Copies(ShardMapOutcome::Done) => {
                membership.joined = true;
                Next::AtOnce
            }
            Answer::Copies(ShardMapOutcome::Stale) => {
                self.leave(0);
                Next::AtOnce
            }
            Answer::Copies(ShardMapOutcome::Refused(why)) | Answer::Refused(why) => {
                log::error!(event = "refused"; "copies: the lease group refused this node: {why}");
                Next::Never
            }
            Answer::Table(confirmation) => self.confirmed(sent, confirmation, membership),
            _ => Next::AfterInterval,
        }
    }

    fn confirmed(
        self: &Rc<Self>,
        sent: Millis,
        confirmation: ShardMapConfirmation,
        membership: &mut Membership,
    ) -> Next {
        membership.interval_ms = (confirmation.good_ms / 4).max(MIN_INTERVAL_MS);
        self.forget_confirmed_changes(sent);
        let up = self.node.borrow_mut().map_confirmed(sent, confirmation, self.clock.now());
        self.process_output();
        if up || !self.participating.get() {
            return Next::AfterInterval;
        }
        log::warn!(event = "gone"; "copies: the lease group declared this node gone, rejoining");
        self.leave(0);
        Next::AtOnce
    }
}
