//! Storage interface of a Raft node: log, hard state, configuration and snapshot.

use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::storage::MemStorage;
use raft::Storage;

/// Storage of a member: raft-rs's [`Storage`] for reads, plus the writes of a Raft node.
pub trait LogStorage: Storage {
    /// Durably writes the snapshot, entries and hard state of one round before returning.
    fn keep(
        &self,
        snapshot: Option<&Snapshot>,
        entries: &[Entry],
        hard: Option<&HardState>,
    ) -> raft::Result<()>;
    /// Updates the commit index. It need not be durable: a restarted member learns it from the leader, and
    /// the next round writes it with its hard state.
    fn set_commit(&self, commit: u64) -> raft::Result<()>;
    /// Durably writes the configuration that results from the membership change at `index`. Until this
    /// returns, the durable commit index must stay below that entry: a restarting member treats committed
    /// entries as applied and would miss the change.
    fn set_conf_state_at(&self, conf: ConfState, index: u64) -> raft::Result<()>;
    /// Replaces the log up to the applied entry at `index` with a snapshot that contains `data`. A storage
    /// that cannot send the data to other members may keep its log instead.
    fn compact(&self, index: u64, data: Vec<u8>) -> raft::Result<()>;
}

/// Returns whether a round contains anything that must be durable before its messages are sent. A new commit
/// index alone need not be; it is written with the next round.
pub fn needs_sync(
    snapshot: Option<&Snapshot>,
    entries: &[Entry],
    hard: Option<&HardState>,
    kept: &HardState,
) -> bool {
    let voted = hard.is_some_and(|h| (h.term, h.vote) != (kept.term, kept.vote));
    snapshot.is_some() || !entries.is_empty() || voted
}

impl LogStorage for MemStorage {
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

    fn set_commit(&self, commit: u64) -> raft::Result<()> {
        self.wl().mut_hard_state().commit = commit;
        Ok(())
    }

    fn set_conf_state_at(&self, conf: ConfState, _index: u64) -> raft::Result<()> {
        self.wl().set_conf_state(conf);
        Ok(())
    }

    /// Does nothing, because snapshots of raft-rs's `MemStorage` carry no data and would give a lagging
    /// member an empty table. Simulations are short enough to keep the whole log.
    fn compact(&self, _index: u64, _data: Vec<u8>) -> raft::Result<()> {
        Ok(())
    }
}
