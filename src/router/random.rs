//! Reproducible pseudo-random numbers, and the bit mixer used by placement.

/// The finalizer of SplitMix64 (Steele, Lea and Flood, "Fast Splittable Pseudorandom Number Generators",
/// 2014). Must never change, since every proxy places keys by it.
pub(super) fn mix64(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// The SplitMix64 generator. The sequence depends only on the seed.
pub(super) struct SplitMix64(u64);

impl SplitMix64 {
    /// The increment of the state: 2^64 divided by the golden ratio.
    const INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

    pub(super) fn new(seed: u64) -> Self {
        SplitMix64(seed)
    }

    /// Returns the next number, uniform in [0, 1).
    pub(super) fn next_unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(Self::INCREMENT);
        (mix64(self.0) >> 11) as f64 / (1u64 << 53) as f64
    }
}
