//! Log lines for the events of a member's Raft node.

use ::log::{debug, info, log, Level};
use notchdoor_coordination::lease::{task_of, Command, Outcome};
use notchdoor_coordination::raft_node::Event;

/// Logs an event. Changes of leases and versions are logged at info level by the leader and at debug level by followers.
pub(super) fn log_event(event: &Event, leads: bool) {
    let level = if leads { Level::Info } else { Level::Debug };
    match event {
        Event::Leader { id, term } => {
            info!(event = "leader", leader = *id, term = *term; "member {id} is the leader of term {term}");
        }
        Event::Members { id, now } => {
            info!(event = "members", member = *id, now = *now; "member {id} is now {now}");
        }
        Event::Proposed { outcome, index } => {
            log!(level, event = "proposal", index = *index; "configuration version proposed: {outcome:?}");
        }
        Event::Copies { index, change } => {
            log!(level, event = "copies", index = *index; "shard map changed: {change:?}");
        }
        Event::InForce { number } => {
            log!(level, event = "in_force", version = *number; "configuration version {number} is in force");
        }
        Event::Applied { index, command, outcome } => {
            let task = task_of(command);
            let holder = match command {
                Command::Acquire { holder, .. }
                | Command::Renew { holder, .. }
                | Command::Release { holder, .. } => holder.as_str(),
                Command::Revoke { .. } => "operator",
                Command::Expire { .. } => "leader",
            };
            let (what, token) = match outcome {
                // An acquire by the current holder keeps its token: it is a renewal.
                Outcome::Granted { token, .. } if token == index => ("grant", *token),
                Outcome::Granted { token, .. } | Outcome::Renewed { token, .. } => ("renewal", *token),
                Outcome::Released { token } => ("release", *token),
                Outcome::Expired { token } => ("expiry", *token),
                Outcome::Revoked { token } => ("revocation", *token),
                Outcome::Refused(why) => {
                    return debug!(event = "refusal", task, holder, index = *index; "request of {holder} for task {task} refused: {why:?}")
                }
            };
            log!(level, event = what, task, holder, token, index = *index; "{what} of task {task}, holder {holder}, token {token}");
        }
    }
}
