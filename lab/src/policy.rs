//! Policies by name: the decision module, the baselines it is held against, and the ones broken on purpose.

use crate::baselines::{Baseline, Choice};
use crate::broken::{Break, Broken};
use crate::interface::Policy;
use notchdoor::{Micros, Settings};
use notchdoor_limits::layer::LimitsLayer;
use notchdoor_limits::policy::Policy as LimitsFile;
use notchdoor_limits::stack::Stack;
use std::sync::Arc;

/// A policy by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The decision module.
    Notchdoor,
    /// The decision module with the limits of a file round it.
    Limited,
    /// Rendezvous hashing with the limits of a file round it: what limits do where no windows are.
    LimitedRendezvous,
    /// A baseline.
    Baseline(Choice),
    /// The decision module, broken on purpose to see that it is caught.
    Broken(Break),
}

/// The policies that a run compares, unless it says otherwise.
pub const USUAL: &[Kind] = &[
    Kind::Notchdoor,
    Kind::Baseline(Choice::Random),
    Kind::Baseline(Choice::RoundRobin),
    Kind::Baseline(Choice::Rendezvous),
    Kind::Baseline(Choice::TwoChoices),
    Kind::Baseline(Choice::AllSeeing),
];

impl Kind {
    /// Every policy: those of [`USUAL`], the limited one and the broken ones.
    pub fn all() -> Vec<Kind> {
        USUAL
            .iter()
            .copied()
            .chain([Kind::Limited, Kind::LimitedRendezvous])
            .chain(Break::ALL.iter().map(|b| Kind::Broken(*b)))
            .collect()
    }

    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Notchdoor => "notchdoor",
            Kind::Limited => "limited",
            Kind::LimitedRendezvous => "limited-rendezvous",
            Kind::Baseline(choice) => choice.name(),
            Kind::Broken(broken) => broken.name(),
        }
    }

    /// The policy of this name.
    pub fn parse(name: &str) -> Result<Kind, String> {
        Kind::all().into_iter().find(|k| k.name() == name).ok_or_else(|| {
            let names: Vec<&str> = Kind::all().iter().map(|k| k.name()).collect();
            format!("no policy is called '{name}'; there are {}", names.join(", "))
        })
    }

    /// Whether a broken rule ends its day. Baselines know nothing of some rules; theirs are counted.
    pub fn must_keep_rules(self) -> bool {
        !matches!(self, Kind::Baseline(_) | Kind::LimitedRendezvous)
    }

    /// Whether it needs a file of limits.
    pub fn needs_limits(self) -> bool {
        matches!(self, Kind::Limited | Kind::LimitedRendezvous)
    }

    /// One proxy's instance; `limits` are those of [`Kind::Limited`].
    pub fn start(
        self,
        settings: &Settings,
        limits: Option<&Arc<LimitsFile>>,
        seed: u64,
        now: Micros,
    ) -> Box<dyn Policy> {
        match self {
            Kind::Notchdoor => Box::new(Stack::new(settings.clone(), None, seed, now)),
            Kind::Limited => Box::new(Stack::new(settings.clone(), limits.cloned(), seed, now)),
            Kind::LimitedRendezvous => {
                let plain = Baseline::new(Choice::Rendezvous, settings.clone(), seed);
                let limits = limits.cloned().unwrap_or_default();
                Box::new(LimitsLayer::new(plain, settings.clone(), limits, seed, now))
            }
            Kind::Baseline(choice) => Box::new(Baseline::new(choice, settings.clone(), seed)),
            Kind::Broken(broken) => Box::new(Broken::new(broken, settings.clone(), seed, now)),
        }
    }
}
