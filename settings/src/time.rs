//! Times in settings.

use notchdoor::Micros;

/// Time in milliseconds, with fractions.
pub type Millis = f64;

/// Largest time in settings, about 30 years.
pub(crate) const MAX_MILLIS: Millis = 1e12;
const MICROS_PER_MILLI: f64 = 1000.0;

/// Converts milliseconds to whole microseconds; negative values and NaN become 0.
pub fn micros(t: Millis) -> Micros {
    (t * MICROS_PER_MILLI).round().max(0.0) as Micros
}
