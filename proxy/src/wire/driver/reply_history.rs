//! Tells the reply to a command from a late second copy of an earlier reply on the same connection.
//!
//! A RESP2 reply does not name its request, and a backend may send a reply twice, the second copy any time later. A copy
//! that crosses the next command would be taken for the reply to it, and the real reply for that to the command after.
//! The first reply after a command is the real one, or it begins with a copy of an earlier reply on the connection, which
//! is whole or cut off. So a reply that neither equals an earlier one nor may begin with a part of one is the real one,
//! however late copies are. For one that equals an earlier one, a fence decides: replies come in the order of the commands,
//! so a reply that is followed by the reply to a fence is the only one so far, and thus the real one. A fence decides
//! nothing about a reply in which another one may begin: the two were read as one.

use crate::wire::fingerprint::{Fingerprint, ValuePrefix, ValueStart};
use std::collections::HashSet;

/// Replies that are remembered for each connection. A connection with as many is not used again.
const MAX_REPLIES: usize = 256;

/// What is remembered of the replies received on a connection.
#[derive(Debug, Default)]
pub struct ReplyHistory {
    digests: HashSet<u64>,
    /// The starts of their values.
    prefixes: HashSet<ValuePrefix>,
    /// How their large values began.
    value_starts: HashSet<ValueStart>,
}

/// How a reply compares with the earlier ones on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    /// There are no earlier ones.
    First,
    /// It differs from all of them.
    Different,
    /// It equals one of them.
    Equal,
    /// It may begin with a part of one of them, into which another reply ran.
    MayContainCopy,
}

impl ReplyHistory {
    /// Records a reply and compares it with the earlier ones.
    pub fn record(&mut self, fingerprint: &Fingerprint) -> Comparison {
        let comparison = self.compare(fingerprint);
        self.digests.insert(fingerprint.digest);
        self.prefixes.extend(fingerprint.prefix);
        self.value_starts.extend(fingerprint.value_start);
        comparison
    }

    /// Whether no reply was received before.
    pub fn is_empty(&self) -> bool {
        self.digests.is_empty()
    }

    /// Whether a large value may be a copy of an earlier one, or a part of such a copy into which another reply ran. Either
    /// announces the length of the earlier one.
    pub fn may_be_copy(&self, start: &ValueStart) -> bool {
        let mut same_length = self.value_starts.iter().filter(|earlier| earlier.length == start.length);
        same_length.any(|earlier| start.contains_reply || earlier.digest == start.digest)
    }

    fn compare(&self, fingerprint: &Fingerprint) -> Comparison {
        if self.digests.is_empty() {
            return Comparison::First;
        }
        let starts_like_earlier = |at: usize| {
            let prefix = fingerprint.prefix.unwrap_or_default();
            self.prefixes.iter().any(|earlier| prefix.may_share(earlier, at))
        };
        let is_new = fingerprint.value_start.is_some_and(|start| !self.may_be_copy(&start));
        let reply_in_value = fingerprint.reply_in_value.filter(|_| !is_new);
        if fingerprint.reply_elsewhere || reply_in_value.is_some_and(starts_like_earlier) {
            return Comparison::MayContainCopy;
        }
        match self.digests.contains(&fingerprint.digest) {
            true => Comparison::Equal,
            false => Comparison::Different,
        }
    }

    /// Whether no further reply can be remembered.
    pub fn is_full(&self) -> bool {
        self.digests.len() >= MAX_REPLIES
    }
}

#[cfg(test)]
mod tests;
