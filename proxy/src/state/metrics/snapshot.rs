//! The metrics that operators fetch, as one JSON object.

use crate::negative_cache;
use serde::Serialize;
use std::collections::BTreeMap;

/// The response to `GET /_vars`. Its field names are an interface for operators.
#[derive(Debug, Default, PartialEq, Serialize)]
pub struct Metrics<'a> {
    /// Requests answered with a value or a receipt, by class.
    pub served: BTreeMap<&'a str, u64>,
    /// Requests answered with an overload error, by class.
    pub refused: BTreeMap<&'a str, u64>,
    /// Requests answered with an error, by class.
    pub failed: BTreeMap<&'a str, u64>,
    /// Attempts whose command was written completely, to a backend or to the origin.
    pub attempts: u64,
    /// Requests in flight.
    pub in_flight: usize,
    /// Backends in the endpoint list, without the origin.
    pub cache_nodes_known: usize,
    /// Listed backends that currently get no requests, because of an administrative drain or the proxy's own decision.
    pub cache_nodes_excluded: usize,
    /// The configuration version in force; absent if versions are not in use.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub versions: Option<VersionMetrics>,
    /// What the cache of known-missing keys did for this process; absent if replication is not in use.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub negative_cache: Option<&'a negative_cache::Metrics>,
}

/// The configuration version in the response to `GET /_vars`.
#[derive(Debug, PartialEq, Serialize)]
pub struct VersionMetrics {
    /// The number of the version; `null` in safe mode.
    pub version: Option<u64>,
    /// When it came into force, in Unix milliseconds.
    pub since_ms: u64,
    /// When its confirmation ends, in Unix milliseconds.
    pub until_ms: u64,
    /// Requests refused because of a version or of safe mode.
    pub refused: u64,
}
