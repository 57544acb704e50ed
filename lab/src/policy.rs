//! What decides for a proxy in a day: the decision module itself, and what it is held against.

use crate::baselines::{Choice, Plain};
use crate::broken::{Break, Broken};
use notchdoor::{Action, Brain, Event, Key, Micros, ServerId, Settings};

/// What a policy that sees everything may look at. The decision module looks at none of it.
pub trait Sight {
    /// How long a request of `work` microseconds would take at a worker, from what it has now; `None` if it
    /// does not run or cannot be reached.
    fn wait(&self, server: ServerId, work: f64) -> Option<f64>;
    /// Whether a worker keeps a copy for this key.
    fn holds(&self, server: ServerId, key: Key) -> bool;
    /// Work that a worker does in a microsecond now; 0 if it does not run or cannot be reached.
    fn capacity(&self, server: ServerId) -> f64;
    /// How long a fetch would take at the origin, from what it has now; `None` while it is stopped.
    fn origin_wait(&self) -> Option<f64>;
    /// How busy a worker said it was, in the latest report that is out.
    fn reported(&self, server: ServerId) -> Option<f64>;
}

/// What a policy holds, to be compared with what is really out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests held.
    pub held: usize,
    /// Attempts out.
    pub out: u64,
}

/// One proxy's decisions.
pub trait Policy {
    /// Takes one event and appends what is to be done at once.
    fn handle(&mut self, now: Micros, event: Event<'_>, sight: &dyn Sight, actions: &mut Vec<Action>);

    /// What it holds; `None` if it does not say.
    fn load(&self) -> Option<Load> {
        None
    }

    /// The origin's window, if it has one.
    fn window(&self) -> Option<f64> {
        None
    }

    /// Whatever it still keeps that should be gone once every request is over, in words.
    fn left_over(&self) -> Option<String> {
        None
    }
}

impl Policy for Brain {
    fn handle(&mut self, now: Micros, event: Event<'_>, _: &dyn Sight, actions: &mut Vec<Action>) {
        Brain::handle(self, now, event, actions);
    }

    fn load(&self) -> Option<Load> {
        let (held, out) = Brain::load(self);
        Some(Load { held, out })
    }

    fn window(&self) -> Option<f64> {
        Some(self.look().window)
    }

    fn left_over(&self) -> Option<String> {
        let look = self.look();
        let idle = look.held == 0 && look.out == 0 && look.flights == 0 && Brain::load(self).1 == 0;
        (!idle).then(|| format!("{look:?}"))
    }
}

/// A policy by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The decision module.
    Notchdoor,
    /// A baseline.
    Plain(Choice),
    /// The decision module, broken on purpose to see that it is caught.
    Broken(Break),
}

/// The policies that a run compares, unless it says otherwise.
pub const USUAL: &[Kind] = &[
    Kind::Notchdoor,
    Kind::Plain(Choice::Random),
    Kind::Plain(Choice::RoundRobin),
    Kind::Plain(Choice::Rendezvous),
    Kind::Plain(Choice::TwoChoices),
    Kind::Plain(Choice::AllSeeing),
];

impl Kind {
    /// Every policy: those of [`USUAL`] and the broken ones.
    pub fn all() -> Vec<Kind> {
        USUAL.iter().copied().chain(Break::ALL.iter().map(|b| Kind::Broken(*b))).collect()
    }

    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Notchdoor => "notchdoor",
            Kind::Plain(choice) => choice.name(),
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
        !matches!(self, Kind::Plain(_))
    }

    /// One proxy's instance.
    pub fn start(self, settings: &Settings, seed: u64, now: Micros) -> Box<dyn Policy> {
        match self {
            Kind::Notchdoor => Box::new(Brain::new(settings.clone(), seed, now)),
            Kind::Plain(choice) => Box::new(Plain::new(choice, settings.clone(), seed)),
            Kind::Broken(broken) => Box::new(Broken::new(broken, settings.clone(), seed, now)),
        }
    }
}
