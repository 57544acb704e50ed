//! Two revisions of the program on one lease group, played against each other: an upgrade member by member and proxy by
//! proxy, rolled back half way and made again, judged by the same checker as everything else that is played.

use super::fleet::{Fleet, Plan};
use notchdoor_coordination::check::Checked;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

/// A holder acts again within this, or never.
const PATIENCE: Duration = Duration::from_secs(30);
/// How long both revisions go on beside each other after each step.
const BESIDE: Duration = Duration::from_millis(500);

/// What a pair came to.
#[derive(Clone, Copy, Debug)]
pub struct Paired {
    /// Processes that were started again as the other revision.
    pub steps: usize,
    /// The longest time from such a start until a holder acted.
    pub slowest: Duration,
    /// What the stand-in recorded.
    pub checked: Checked,
}

/// The revisions that are played against the present one: `testbed/revisions.txt`.
pub fn revisions() -> impl Iterator<Item = &'static str> {
    let lines = include_str!("../../revisions.txt").lines();
    lines.filter(|l| !l.starts_with('#')).filter_map(|l| l.split_whitespace().next())
}

fn run(command: &mut Command) -> Result<(), String> {
    let what = format!("{command:?}");
    match command.status() {
        Ok(status) if status.success() => Ok(()),
        Ok(status) => Err(format!("{what}: {status}")),
        Err(e) => Err(format!("{what}: {e}")),
    }
}

/// Builds a revision out of a repository's own history, in a folder that keeps it for the next time; the program.
pub fn build(repository: &Path, revision: &str, folder: &Path) -> Result<PathBuf, String> {
    if revision.is_empty() || !revision.chars().all(|c| c.is_ascii_alphanumeric()) {
        return Err(format!("'{revision}' is no revision: its number is wanted, as `git log` prints it"));
    }
    // The tools run in folders of their own.
    let whole = |path: &Path| std::path::absolute(path).map_err(|e| format!("{}: {e}", path.display()));
    let (repository, folder) = (whole(repository)?, whole(folder)?);
    let (source, target) = (folder.join(revision), folder.join(format!("{revision}-target")));
    std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    if !source.exists() {
        let clone = ["clone", "--quiet", "--shared", "--no-checkout"];
        run(Command::new("git").args(clone).arg(repository).arg(&source))?;
    }
    run(Command::new("git").arg("-C").arg(&source).args(["checkout", "--quiet", "--detach", revision]))?;
    let cargo = ["build", "--release", "--locked", "--quiet", "--package", "notchdoor-cli", "--target-dir"];
    run(Command::new("cargo").current_dir(&source).args(cargo).arg(&target))?;
    Ok(target.join("release").join("notchdoor"))
}

#[derive(Clone, Copy)]
enum Part {
    Member(u64),
    Proxy(usize),
}

/// Plays an upgrade from the plan's program to `new` with a rollback half way. The error says which property is broken,
/// or what did not come.
pub fn upgrade(plan: Plan, new: &Path) -> Result<Paired, String> {
    let told = |e: io::Error| e.to_string();
    let (old, members, proxies) = (plan.program.clone(), plan.members, plan.proxies);
    let mut fleet = Fleet::start(plan).map_err(told)?;
    std::thread::sleep(BESIDE);
    alive(&mut fleet)?;
    acts(&mut fleet)?;
    // Members first, as the pages say, and proxies of both revisions on every mixture of members.
    let all: Vec<Part> = (0..proxies.max(members as usize))
        .flat_map(|n| {
            let member = ((n as u64) < members).then_some(Part::Member(n as u64 + 1));
            member.into_iter().chain((n < proxies).then_some(Part::Proxy(n)))
        })
        .collect();
    let half = &all[..all.len() / 2];
    let steps = (half.iter().map(|p| (*p, new)))
        .chain(half.iter().rev().map(|p| (*p, old.as_path())))
        .chain(all.iter().map(|p| (*p, new)));
    let (mut made, mut slowest) = (0, Duration::ZERO);
    for (part, program) in steps {
        let process = match part {
            Part::Member(id) => fleet.members.get_mut(&id),
            Part::Proxy(number) => fleet.proxies.get_mut(number),
        };
        let process = process.ok_or("a process of the plan is not there")?;
        process.kill().map_err(told)?;
        process.swap(program);
        process.start().map_err(told)?;
        made += 1;
        let began = Instant::now();
        acts(&mut fleet)?;
        slowest = slowest.max(began.elapsed());
        std::thread::sleep(BESIDE);
        alive(&mut fleet)?;
    }
    let folder = fleet.folder().display().to_string();
    let checked = fleet.check().map_err(|why| format!("{why}; the logs are in {folder}"))?;
    Ok(Paired { steps: made, slowest, checked })
}

/// What is wrong, with the logs kept.
fn broken(fleet: &mut Fleet, why: impl std::fmt::Display) -> String {
    fleet.keep = true;
    format!("{why}; the logs are in {}", fleet.folder().display())
}

/// No member has ended: one that does not know what another wrote, or says, must not stop on it.
fn alive(fleet: &mut Fleet) -> Result<(), String> {
    let ended = fleet.members.iter_mut().find_map(|(id, m)| (!m.runs()).then_some(*id));
    ended.map_or(Ok(()), |id| Err(broken(fleet, format!("member {id} has ended"))))
}

/// Waits until each task is acted on again.
fn acts(fleet: &mut Fleet) -> Result<(), String> {
    let place = fleet.place();
    for n in 0..fleet.tasks() {
        let task = fleet.task(n);
        fleet.acts(&task, place, PATIENCE, |_| true).map_err(|e| broken(fleet, e))?;
    }
    Ok(())
}
