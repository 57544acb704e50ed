//! The JSON messages of the simulator protocol. Types are named after their message; unknown fields are ignored.

use notchdoor_settings::{DeploymentSettings, Millis, Readiness};
use serde::{Deserialize, Serialize};
use std::borrow::Cow;

/// The field that every message has: its kind.
#[derive(Deserialize)]
pub struct Head<'a> {
    #[serde(borrow)]
    pub m: Cow<'a, str>,
}

#[derive(Deserialize)]
pub struct Sync {
    pub t: Millis,
    pub round: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Enlist<'a> {
    #[serde(borrow)]
    pub who: Cow<'a, str>,
    pub init_seed: u64,
    pub boot_info: DeploymentSettings,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Sheet {
    pub buffer: u64,
    pub members_list: Vec<Entry>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Entry {
    #[serde(default)]
    pub cohort: u32,
    pub node: u32,
    #[serde(default)]
    pub up_since: Millis,
    pub readiness: Readiness,
    #[serde(default)]
    pub flavor: String,
    #[serde(default = "one")]
    pub size: f64,
    #[serde(default)]
    pub campus: String,
}

fn one() -> f64 {
    1.0
}

#[derive(Deserialize)]
pub enum Form {
    Partial,
    Complete,
    Persisted,
    Error,
}

#[derive(Deserialize)]
pub struct PeersKnown<'a> {
    #[serde(borrow)]
    pub who: Cow<'a, str>,
    pub form: Form,
    #[serde(default)]
    pub buffer: u64,
}

/// A tenant's name; any other JSON value means that the request has no tenant.
#[derive(Deserialize)]
#[serde(untagged)]
pub enum Customer<'a> {
    Name(#[serde(borrow)] Cow<'a, str>),
    None(serde::de::IgnoredAny),
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Incoming<'a> {
    #[serde(borrow)]
    pub who: Cow<'a, str>,
    #[serde(borrow)]
    pub ticket: Cow<'a, str>,
    #[serde(borrow, default)]
    pub customer: Option<Customer<'a>>,
    pub due: Millis,
    #[serde(borrow, default)]
    pub item: Option<Cow<'a, str>>,
    #[serde(default)]
    pub state_bits: u32,
    #[serde(borrow)]
    pub band: Cow<'a, str>,
}

#[derive(Deserialize)]
pub struct Started<'a> {
    #[serde(borrow)]
    pub who: Cow<'a, str>,
    #[serde(borrow)]
    pub ticket: Cow<'a, str>,
    pub attempt: u32,
}

#[derive(Deserialize)]
pub struct Ended<'a> {
    #[serde(borrow)]
    pub who: Cow<'a, str>,
    #[serde(borrow)]
    pub ticket: Cow<'a, str>,
    pub attempt: u32,
    #[serde(default)]
    pub code: u32,
    pub took: Millis,
    #[serde(default)]
    pub last: bool,
}

#[derive(Deserialize)]
pub struct Abandoned<'a> {
    #[serde(borrow)]
    pub who: Cow<'a, str>,
    #[serde(borrow)]
    pub ticket: Cow<'a, str>,
}

#[derive(Deserialize)]
pub struct TimeoutFired<'a> {
    #[serde(borrow)]
    pub who: Cow<'a, str>,
    pub ctx: u64,
}

/// A message of which only the instance name is used.
#[derive(Deserialize)]
pub struct Addressed<'a> {
    #[serde(borrow)]
    pub who: Cow<'a, str>,
}

#[derive(Serialize)]
#[serde(tag = "m", rename_all = "camelCase")]
pub enum Output<'a> {
    #[serde(rename_all = "camelCase")]
    Route {
        who: &'a str,
        ticket: &'a str,
        node: u32,
        not_past: Millis,
    },
    Retract {
        who: &'a str,
        ticket: &'a str,
        attempt: u32,
    },
    #[serde(rename_all = "camelCase")]
    TurnAway {
        who: &'a str,
        ticket: &'a str,
        come_back: Millis,
    },
    FinishError {
        who: &'a str,
        ticket: &'a str,
    },
    #[serde(rename_all = "camelCase")]
    Schedule {
        who: &'a str,
        from_now: Millis,
        ctx: u64,
    },
    StreamChanges {
        who: &'a str,
        want: bool,
    },
    Done {
        round: u64,
    },
}

impl Output<'_> {
    /// Appends the message as one line of JSON.
    pub fn append_to(&self, reply: &mut Vec<u8>) {
        serde_json::to_writer(&mut *reply, self).expect("messages always serialize to JSON");
        reply.push(b'\n');
    }
}
