//! The front that deals clients out to the proxies of their zone, and notices a dead one only after a while.

use crate::time::Time;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

/// The front.
pub struct Front {
    notice: Time,
    /// The proxies of each zone.
    zones: Vec<Vec<u32>>,
    /// Since when each does not run, if it does not.
    died: Vec<Option<Time>>,
}

impl Front {
    /// A front for proxies in these zones, all running.
    pub fn new(of_zone: impl IntoIterator<Item = u32>, notice: Time) -> Self {
        let mut front = Front { notice, zones: Vec::new(), died: Vec::new() };
        for (proxy, zone) in of_zone.into_iter().enumerate() {
            let zone = zone as usize;
            front.zones.resize(front.zones.len().max(zone + 1), Vec::new());
            front.zones[zone].push(proxy as u32);
            front.died.push(None);
        }
        front
    }

    /// A proxy's process has ended, or (`None`) is ready again.
    pub fn set_died(&mut self, proxy: u32, died: Option<Time>) {
        if let Some(place) = self.died.get_mut(proxy as usize) {
            *place = died;
        }
    }

    /// The proxy that a client of this zone reaches: one of its zone that is believed to run, else one of
    /// another. `None` where all are known to be dead.
    pub fn pick(&self, now: Time, zone: u32, rng: &mut ChaCha8Rng) -> Option<u32> {
        let believed = |p: &&u32| self.died[**p as usize].is_none_or(|at| now < at + self.notice);
        let near = self.zones.get(zone as usize).map_or(&[][..], |z| z);
        // Nearly always the first one drawn is believed to run.
        if let Some(proxy) = near.choose(rng).filter(believed) {
            return Some(*proxy);
        }
        let near: Vec<&u32> = near.iter().filter(believed).collect();
        if let Some(proxy) = near.choose(rng) {
            return Some(**proxy);
        }
        let all: Vec<&u32> = self.zones.iter().flatten().filter(believed).collect();
        all.choose(rng).map(|proxy| **proxy)
    }
}
