//! Members of the group and their addresses, and the startup decision of a member with a new store.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Maximum number of members in a group.
pub const MAX_MEMBERS: usize = 7;

/// Addresses of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberAddr {
    /// Member id. Never 0, and never reused within a group.
    pub id: u64,
    /// Address for other members.
    pub peer: SocketAddr,
    /// Address for clients of the group: proxies and operators.
    pub client: SocketAddr,
}

/// A member as recorded in the replicated membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Id and addresses.
    pub at: MemberAddr,
    /// Store number of the member, once enlisted. A store with another number is refused.
    pub number: Option<u64>,
    /// Whether the member votes. New members start as learners.
    pub voter: bool,
}

/// The members of a group. Replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Membership {
    members: BTreeMap<u64, MemberRecord>,
    highest: u64,
}

impl Membership {
    /// Creates the membership of a new group from the founding members and their store numbers.
    pub fn founding(members: impl IntoIterator<Item = (MemberAddr, u64)>) -> Membership {
        let listed =
            |(at, number): (MemberAddr, u64)| (at.id, MemberRecord { at, number: Some(number), voter: true });
        let members: BTreeMap<u64, MemberRecord> = members.into_iter().map(listed).collect();
        let highest = members.keys().next_back().copied().unwrap_or(0);
        Membership { members, highest }
    }

    /// Returns the members by id.
    pub fn members(&self) -> &BTreeMap<u64, MemberRecord> {
        &self.members
    }

    /// Returns the highest member id ever used. New members need a higher one.
    pub fn highest(&self) -> u64 {
        self.highest
    }

    /// Adds a member as a learner. Returns `false` and changes nothing if the id was used before.
    pub fn add(&mut self, at: MemberAddr) -> bool {
        if at.id <= self.highest {
            return false;
        }
        self.highest = at.id;
        self.members.insert(at.id, MemberRecord { at, number: None, voter: false });
        true
    }

    /// Makes a learner a voter.
    pub fn promote(&mut self, id: u64) {
        if let Some(member) = self.members.get_mut(&id) {
            member.voter = true;
        }
    }

    /// Removes a member. Its id cannot be reused.
    pub fn remove(&mut self, id: u64) {
        self.members.remove(&id);
    }

    /// Records the store number of a member on first use. Returns whether `number` belongs to the member.
    pub fn enlist(&mut self, id: u64, number: u64) -> bool {
        self.members.get_mut(&id).is_some_and(|m| *m.number.get_or_insert(number) == number)
    }
}

/// Answer of another member to the `Hello` request of a member with a new store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Handshake {
    /// The other member has a new store, too.
    New {
        /// Id and addresses of the other member.
        at: MemberAddr,
        /// Store number of the other member.
        number: u64,
    },
    /// The other member belongs to a running group.
    Live {
        /// Founding members, which every log of the group starts with.
        founders: Membership,
        /// Current members.
        book: Membership,
    },
}

/// How a member with a new store proceeds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartDecision {
    /// Start with these founding members.
    Go(Membership),
    /// Ask the group to enlist this store, then start with these founding members.
    Enlist(Membership),
    /// Send `Hello` again to these members, which have not answered.
    Wait(Vec<u64>),
    /// Do not start. Contains the reason.
    Refuse(String),
}

/// Decides how member `me` with store `number` starts, given the answers of the `others` in its settings
/// file. The member must not vote before the decision is [`StartDecision::Go`].
pub fn decide_start(
    me: MemberAddr,
    number: u64,
    others: &[u64],
    heard: &BTreeMap<u64, Handshake>,
) -> StartDecision {
    for hello in heard.values() {
        let Handshake::Live { founders, book } = hello else { continue };
        return match book.members().get(&me.id) {
            Some(MemberRecord { number: Some(n), .. }) if *n == number => StartDecision::Go(founders.clone()),
            Some(MemberRecord { number: Some(_), .. }) => StartDecision::Refuse(format!(
                "member {0} was enlisted with a different store, and its votes are lost; remove member {0} \
                 and add a new member with an id above {1}",
                me.id,
                book.highest()
            )),
            Some(_) => StartDecision::Enlist(founders.clone()),
            None if me.id <= book.highest() => StartDecision::Refuse(format!(
                "member {} was removed from this group; add a new member with an id above {}",
                me.id,
                book.highest()
            )),
            None => StartDecision::Refuse(format!("member {} is not part of the group; add it first", me.id)),
        };
    }
    let missing: Vec<u64> = others.iter().copied().filter(|id| !heard.contains_key(id)).collect();
    if !missing.is_empty() {
        return StartDecision::Wait(missing);
    }
    let founders = heard.values().filter_map(|h| match h {
        Handshake::New { at, number } => Some((*at, *number)),
        Handshake::Live { .. } => None,
    });
    StartDecision::Go(Membership::founding(founders.chain([(me, number)])))
}

#[cfg(test)]
mod tests;
