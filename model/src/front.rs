//! Load balancer in front of the proxies; it detects a stopped proxy only after a delay.

use crate::time::Time;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

/// Assigns clients to proxies, preferably in their own zone.
pub struct FrontBalancer {
    detection_delay: Time,
    /// Proxies by zone.
    zones: Vec<Vec<u32>>,
    /// Time since when each proxy has been stopped; `None` while it runs.
    down_since: Vec<Option<Time>>,
}

impl FrontBalancer {
    /// Creates a load balancer for running proxies, given the zone of each.
    pub fn new(proxy_zones: impl IntoIterator<Item = u32>, detection_delay: Time) -> Self {
        let mut balancer = FrontBalancer { detection_delay, zones: Vec::new(), down_since: Vec::new() };
        for (proxy, zone) in proxy_zones.into_iter().enumerate() {
            let zone = zone as usize;
            balancer.zones.resize(balancer.zones.len().max(zone + 1), Vec::new());
            balancer.zones[zone].push(proxy as u32);
            balancer.down_since.push(None);
        }
        balancer
    }

    /// Records that a proxy stopped at this time, or that it is ready (`None`).
    pub fn set_down_since(&mut self, proxy: u32, down_since: Option<Time>) {
        if let Some(entry) = self.down_since.get_mut(proxy as usize) {
            *entry = down_since;
        }
    }

    /// Picks a proxy for a client of `zone`: a random one of that zone that appears to run, else one of any
    /// zone. `None` if all are known to be stopped.
    pub fn pick(&self, now: Time, zone: u32, rng: &mut ChaCha8Rng) -> Option<u32> {
        let appears_up =
            |p: &&u32| self.down_since[**p as usize].is_none_or(|at| now < at + self.detection_delay);
        let local = self.zones.get(zone as usize).map_or(&[][..], |z| z);
        // Fast path: the first proxy drawn usually appears to run.
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
