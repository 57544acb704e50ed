//! `notchdoor copies`: shows shard replicas by node and resets shards whose replicas are lost.

use crate::coord::GroupOptions;
use crate::{CommandResult, Exit};
use clap::Subcommand;
use notchdoor_coordination::protocol::{Answer, Request};
use notchdoor_coordination::shard_map::{NodeId, Shard, ShardMap, ShardMapChange, ShardMapOutcome};

#[derive(Subcommand)]
pub enum Command {
    /// List the nodes and their shards; exits with 1 if a shard has no primary or too few in-sync replicas.
    #[command(after_help = "Example:\n  notchdoor copies status --at 127.0.0.1:7201,127.0.0.1:7202")]
    Status(GroupOptions),
    /// Show the epoch, primary, in-sync replicas and joining replicas of a shard.
    Show {
        /// Shard number.
        shard: u32,
        #[command(flatten)]
        group: GroupOptions,
    },
    /// Reset a shard without a running replica to empty. All data acknowledged in it is permanently lost.
    #[command(
        after_help = "Starting a machine whose disk still has the shard recovers it; give the shard up only if there is no such
machine. The group refuses the command while a replica is up."
    )]
    GiveUp {
        /// Shard number.
        shard: u32,
        #[command(flatten)]
        group: GroupOptions,
    },
}

fn fetch_shard_map(group: &GroupOptions) -> Result<ShardMap, String> {
    match group.send_request(Request::Table { node: None, have: 0 })? {
        Answer::Table(answer) => Ok(answer.table.map(|t| *t).unwrap_or_default()),
        unexpected => Err(format!("unexpected response: {unexpected:?}")),
    }
}

fn find_shard(map: &ShardMap, number: u32) -> Result<&Shard, String> {
    let count = map.shards().len();
    map.shards()
        .get(number as usize)
        .ok_or(format!("shard {number} does not exist: there are {count} shards, numbered from 0"))
}

fn node_name(map: &ShardMap, id: NodeId) -> String {
    let node = map.nodes().get(&id);
    node.map_or(format!("{id:016x}"), |n| {
        format!("{}@{}{}", n.at.name, n.at.machine, if n.up { "" } else { " (down)" })
    })
}

fn node_names<'a>(map: &ShardMap, ids: impl IntoIterator<Item = &'a NodeId>) -> String {
    ids.into_iter().map(|id| node_name(map, *id)).collect::<Vec<_>>().join(", ")
}

pub fn run(command: &Command) -> CommandResult {
    match command {
        Command::Status(group) => status(group),
        Command::Show { shard: number, group } => {
            let map = fetch_shard_map(group)?;
            let shard = find_shard(&map, *number)?;
            if group.json {
                println!("{}", serde_json::json!(shard));
            } else {
                println!("epoch    {}", shard.epoch);
                println!("primary  {}", shard.primary.map_or("none".to_owned(), |id| node_name(&map, id)));
                println!("in sync  {}", node_names(&map, &shard.in_sync));
                println!("joining  {}", node_names(&map, &shard.joining));
            }
            Ok(if shard.primary.is_some() { Exit::Success } else { Exit::Failure })
        }
        Command::GiveUp { shard: number, group } => {
            let epoch = find_shard(&fetch_shard_map(group)?, *number)?.epoch;
            match group.send_request(Request::Copies(ShardMapChange::GiveUp { shard: *number, epoch }))? {
                Answer::Copies(ShardMapOutcome::Done) => {
                    println!("shard {number} was reset and is empty");
                    Ok(Exit::Success)
                }
                Answer::Copies(ShardMapOutcome::Stale) => {
                    Err(format!("shard {number} changed in the meantime: check its status and try again"))
                }
                Answer::Copies(ShardMapOutcome::Refused(reason)) => Err(reason),
                unexpected => Err(format!("unexpected response: {unexpected:?}")),
            }
        }
    }
}

fn status(group: &GroupOptions) -> CommandResult {
    let map = fetch_shard_map(group)?;
    let min_in_sync = map.shape().map_or(0, |s| s.least);
    let without_primary = map.shards().iter().filter(|s| s.primary.is_none()).count();
    let under_replicated =
        map.shards().iter().filter(|s| s.primary.is_some() && s.in_sync.len() < min_in_sync).count();
    if group.json {
        println!(
            "{}",
            serde_json::json!({"table": map, "lost": without_primary, "below_least": under_replicated})
        );
    } else {
        println!(
            "{:16} {:16} {:12} {:>6} {:>4} {:>8} {:>8}",
            "node", "machine", "zone", "start", "up", "in sync", "primary"
        );
        for (id, n) in map.nodes() {
            let replicas = map.shards().iter().filter(|s| s.in_sync.contains(id)).count();
            let primaries = map.shards().iter().filter(|s| s.primary == Some(*id)).count();
            let (up, at) = (if n.up { "yes" } else { "no" }, &n.at);
            println!(
                "{:16} {:16} {:12} {:>6} {up:>4} {replicas:>8} {primaries:>8}",
                at.name, at.machine, at.zone, n.start
            );
        }
        println!(
            "{} shards, {without_primary} without a primary, {under_replicated} below {min_in_sync} in-sync replicas",
            map.shards().len()
        );
    }
    Ok(if without_primary + under_replicated == 0 { Exit::Success } else { Exit::Failure })
}
