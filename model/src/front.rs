//! The front that deals clients out to the proxies of their zone, and notices a dead one only after a while.

use crate::time::Time;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

/// The front.
pub struct Front {
    detection_delay: Time,
    /// The proxies of each zone.
    zones: Vec<Vec<u32>>,
    /// Since when each does not run, if it does not.
    down_since: Vec<Option<Time>>,
}

impl Front {
    /// A front for proxies in these zones, all running.
    pub fn new(proxy_zones: impl IntoIterator<Item = u32>, detection_delay: Time) -> Self {
        let mut front = Front { detection_delay, zones: Vec::new(), down_since: Vec::new() };
        for (proxy, zone) in proxy_zones.into_iter().enumerate() {
            let zone = zone as usize;
            front.zones.resize(front.zones.len().max(zone + 1), Vec::new());
            front.zones[zone].push(proxy as u32);
            front.down_since.push(None);
        }
        front
    }

    /// A proxy's process has ended, or (`None`) is ready again.
    pub fn set_down_since(&mut self, proxy: u32, down_since: Option<Time>) {
        if let Some(entry) = self.down_since.get_mut(proxy as usize) {
            *entry = down_since;
        }
    }

    /// The proxy that a client of this zone reaches: one of its zone that is believed to run, else one of
    /// another. `None` where all are known to be dead.
    pub fn pick(&self, now: Time, zone: u32, rng: &mut ChaCha8Rng) -> Option<u32> {
        let appears_up =
            |p: &&u32| self.down_since[**p as usize].is_none_or(|at| now < at + self.detection_delay);
        let local = self.zones.get(zone as usize).map_or(&[][..], |z| z);
        // Nearly always the first one drawn is believed to run.
        if let Some(proxy) = local.choose(rng).filter(appears_up) {
            return Some(*proxy);
        }
        let local: Vec<&u32> = local.iter().filter(appears_up).collect();
        if let Some(proxy) = local.choose(rng) {
            return Some(**proxy);
        }
        let all: Vec<&u32> = self.zones.iter().flatten().filter(appears_up).collect();
        all.choose(rng).map(|proxy| **proxy)
    }
}
