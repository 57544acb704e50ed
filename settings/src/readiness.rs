//! Server state on the wire.

use notchdoor::ServerState;
use serde::Deserialize;

/// Server state as used by the simulator's protocol and by the discovery service.
#[derive(Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Readiness {
    /// In service.
    InService,
    /// Finishes its requests and accepts no new ones.
    Terminating,
    /// Stopped.
    Terminated,
}

impl From<Readiness> for ServerState {
    fn from(state: Readiness) -> Self {
        match state {
            Readiness::InService => ServerState::Serving,
            Readiness::Terminating => ServerState::Draining,
            Readiness::Terminated => ServerState::Gone,
        }
    }
}
