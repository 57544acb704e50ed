//! Means and how sure they are: Student's t on samples and on pairs.

use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};

/// A mean with the half-width of its 95% confidence interval.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Mean {
    /// The mean.
    pub mean: f64,
    /// Half the width of the interval; 0 for a single sample, of which nothing is known.
    pub half: f64,
    /// Samples.
    pub n: usize,
}

/// The mean of these samples.
pub fn mean(samples: &[f64]) -> Mean {
    let n = samples.len();
    let sum: f64 = samples.iter().sum();
    let mean = sum / n.max(1) as f64;
    if n < 2 {
        return Mean { mean, half: 0.0, n };
    }
    let variance = samples.iter().map(|x| (x - mean).powi(2)).sum::<f64>() / (n - 1) as f64;
    let t = StudentsT::new(0.0, 1.0, (n - 1) as f64).map_or(2.0, |t| t.inverse_cdf(0.975));
    Mean { mean, half: t * (variance / n as f64).sqrt(), n }
}

/// The probability that paired differences like these have a mean of 0: the two-sided paired t-test. 1 where
/// there are too few to say.
pub fn paired_p(differences: &[f64]) -> f64 {
    let n = differences.len();
    if n < 2 {
        return 1.0;
    }
    let m = mean(differences);
    let variance = differences.iter().map(|x| (x - m.mean).powi(2)).sum::<f64>() / (n - 1) as f64;
    if variance == 0.0 {
        return if m.mean == 0.0 { 1.0 } else { 0.0 };
    }
    let t = m.mean / (variance / n as f64).sqrt();
    StudentsT::new(0.0, 1.0, (n - 1) as f64).map_or(1.0, |d| 2.0 * (1.0 - d.cdf(t.abs())))
}
