//! Pseudo-random numbers that are the same for each seed.

use std::time::Duration;

/// A generator of pseudo-random numbers (xorshift), the same for each seed.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        let mut random = Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
        for _ in 0..8 {
            random.next();
        }
        random
    }

    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// A generator of its own, for another thread.
    pub fn fork(&mut self) -> Random {
        Random::new(self.next())
    }

    /// A number from 0 to `bound`, which is excluded.
    pub fn below(&mut self, bound: usize) -> usize {
        (self.next() % bound.max(1) as u64) as usize
    }

    /// Returns true with this probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64 <= probability && probability > 0.0
    }

    /// Sleeps for up to so many milliseconds.
    pub fn sleep(&mut self, max_ms: f64) {
        let share = self.below(1000) as f64 / 1000.0;
        std::thread::sleep(Duration::from_secs_f64(max_ms * share / 1000.0));
    }
}
