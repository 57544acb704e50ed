//! The JSON messages of the simulator protocol. Types are named after their message; unknown fields are ignored.

use notchdoor_settings::{DeploymentSettings, Millis, Readiness};
use serde::{Deserialize, Serialize};
use std::borrow::Cow;

/// The field that every message has: its kind.
#[derive(Deserialize)]
pub struct Head<'a> {
    #[serde(borrow, rename = "m")]
    pub kind: Cow<'a, str>,
}

/// Starts a batch: all its messages happen at `time`.
#[derive(Deserialize)]
pub struct Sync {
    #[serde(rename = "t")]
    pub time: Millis,
    #[serde(rename = "round")]
    pub batch: u64,
}

/// Starts an instance.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Enlist<'a> {
    #[serde(borrow, rename = "who")]
    pub instance: Cow<'a, str>,
    pub init_seed: u64,
    pub boot_info: DeploymentSettings,
}

/// An endpoint list, stored under the number `buffer` until a later list replaces it.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Sheet {
    pub buffer: u64,
    pub members_list: Vec<Entry>,
}

/// One server of an endpoint list.
#[derive(Deserialize)]
pub struct Entry {
    #[serde(default, rename = "cohort")]
    pub cell: u32,
    #[serde(rename = "node")]
    pub server: u32,
    #[serde(default, rename = "upSince")]
    pub started_at: Millis,
    pub readiness: Readiness,
    #[serde(default, rename = "flavor")]
    pub kind: String,
    #[serde(default = "default_size")]
    pub size: f64,
    #[serde(default, rename = "campus")]
    pub zone: String,
}

fn default_size() -> f64 {
    1.0
}

/// What a `peersKnown` message reports: an endpoint update, an endpoint list or a discovery error.
#[derive(Deserialize)]
pub enum Form {
    Partial,
    Complete,
    Persisted,
    Error,
}

/// Discovery's answer to an instance; the endpoints are those stored under `buffer`.
#[derive(Deserialize)]
pub struct PeersKnown<'a> {
    #[serde(borrow, rename = "who")]
    pub instance: Cow<'a, str>,
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

/// A client sent a request.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Incoming<'a> {
    #[serde(borrow, rename = "who")]
    pub instance: Cow<'a, str>,
    #[serde(borrow, rename = "ticket")]
    pub request: Cow<'a, str>,
    #[serde(borrow, default, rename = "customer")]
    pub tenant: Option<Customer<'a>>,
    #[serde(rename = "due")]
    pub deadline: Millis,
    #[serde(borrow, default, rename = "item")]
    pub key: Option<Cow<'a, str>>,
    #[serde(default)]
    pub state_bits: u32,
    #[serde(borrow, rename = "band")]
    pub class: Cow<'a, str>,
}

/// A server started its reply to an attempt.
#[derive(Deserialize)]
pub struct Started<'a> {
    #[serde(borrow, rename = "who")]
    pub instance: Cow<'a, str>,
    #[serde(borrow, rename = "ticket")]
    pub request: Cow<'a, str>,
    pub attempt: u32,
}

/// An attempt ended with the outcome `code`.
#[derive(Deserialize)]
pub struct Ended<'a> {
    #[serde(borrow, rename = "who")]
    pub instance: Cow<'a, str>,
    #[serde(borrow, rename = "ticket")]
    pub request: Cow<'a, str>,
    pub attempt: u32,
    #[serde(default)]
    pub code: u32,
    #[serde(rename = "took")]
    pub duration: Millis,
    #[serde(default, rename = "last")]
    pub request_done: bool,
}

/// The client of a request disconnected.
#[derive(Deserialize)]
pub struct Abandoned<'a> {
    #[serde(borrow, rename = "who")]
    pub instance: Cow<'a, str>,
    #[serde(borrow, rename = "ticket")]
    pub request: Cow<'a, str>,
}

/// A timer set by `schedule` expired.
#[derive(Deserialize)]
pub struct TimeoutFired<'a> {
    #[serde(borrow, rename = "who")]
    pub instance: Cow<'a, str>,
    #[serde(rename = "ctx")]
    pub token: u64,
}

/// A message of which only the instance name is used.
#[derive(Deserialize)]
pub struct Addressed<'a> {
    #[serde(borrow, rename = "who")]
    pub instance: Cow<'a, str>,
}

/// The messages of a reply: one per action, then `done`.
#[derive(Serialize)]
#[serde(tag = "m", rename_all = "camelCase")]
pub enum Output<'a> {
    Route {
        #[serde(rename = "who")]
        instance: &'a str,
        #[serde(rename = "ticket")]
        request: &'a str,
        #[serde(rename = "node")]
        server: u32,
        #[serde(rename = "notPast")]
        give_up_at: Millis,
    },
    Retract {
        #[serde(rename = "who")]
        instance: &'a str,
        #[serde(rename = "ticket")]
        request: &'a str,
        attempt: u32,
    },
    TurnAway {
        #[serde(rename = "who")]
        instance: &'a str,
        #[serde(rename = "ticket")]
        request: &'a str,
        #[serde(rename = "comeBack")]
        retry_after: Millis,
    },
    FinishError {
        #[serde(rename = "who")]
        instance: &'a str,
        #[serde(rename = "ticket")]
        request: &'a str,
    },
    Schedule {
        #[serde(rename = "who")]
        instance: &'a str,
        #[serde(rename = "fromNow")]
        delay: Millis,
        #[serde(rename = "ctx")]
        token: u64,
    },
    StreamChanges {
        #[serde(rename = "who")]
        instance: &'a str,
        #[serde(rename = "want")]
        enabled: bool,
    },
    Done {
        #[serde(rename = "round")]
        batch: u64,
    },
}

impl Output<'_> {
    /// Appends the message as one line of JSON.
    pub fn append_to(&self, reply: &mut Vec<u8>) {
        serde_json::to_writer(&mut *reply, self).expect("messages always serialize to JSON");
        reply.push(b'\n');
    }
}
