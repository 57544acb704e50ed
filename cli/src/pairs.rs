//! `notchdoor lab pairs`: tests upgrades between this program and earlier revisions on one lease group.

use crate::{CommandResult, Exit};
use clap::Args;
use notchdoor_testbed::group::fleet::Plan;
use notchdoor_testbed::group::pairs;
use std::path::PathBuf;

#[derive(Args)]
pub struct PairsOptions {
    /// Earlier revision to test with; can be repeated. Defaults to those in `testbed/revisions.txt`.
    #[arg(long = "with", value_name = "REVISION")]
    revisions: Vec<String>,
    /// Executable of an earlier build, instead of revisions.
    #[arg(long, value_name = "FILE", conflicts_with = "revisions")]
    program: Option<PathBuf>,
    /// Git repository that contains the revisions.
    #[arg(long, value_name = "DIR", default_value = ".")]
    repository: PathBuf,
    /// Directory where revisions are built and cached.
    #[arg(long, value_name = "DIR", default_value = "target/pairs")]
    folder: PathBuf,
    /// Maximum time that proxies may act on different versions, in milliseconds; 0 to disable versions.
    #[arg(long, default_value_t = 2000)]
    within_ms: u64,
}

pub fn run(options: &PairsOptions) -> CommandResult {
    let current =
        std::env::current_exe().map_err(|e| format!("cannot find this program's executable: {e}"))?;
    let mut programs = Vec::new();
    if let Some(program) = &options.program {
        programs.push((program.display().to_string(), program.clone()));
    } else {
        let default_revisions = || pairs::revisions().map(str::to_owned).collect();
        let revisions =
            if options.revisions.is_empty() { default_revisions() } else { options.revisions.clone() };
        for revision in revisions {
            eprintln!("building {revision}");
            let program = pairs::build(&options.repository, &revision, &options.folder)?;
            programs.push((revision, program));
        }
    }
    let mut exit = Exit::Success;
    for (name, earlier) in &programs {
        // Upgrade in both directions, each with a rollback half way.
        let directions = [(earlier, &current, "to this one"), (&current, earlier, "from this one")];
        for (n, (from, to, direction)) in directions.into_iter().enumerate() {
            let folder = std::env::temp_dir().join(format!("notchdoor-pairs-{}-{n}", std::process::id()));
            let within = (options.within_ms > 0).then_some(options.within_ms);
            let plan = Plan { within_ms: within, ..Plan::new(from, folder) };
            match pairs::upgrade(plan, to) {
                Ok(upgrade) => println!(
                    "{name}, {direction}: {} processes replaced, at most {} ms until a lease holder acted; {} actions admitted, {} \
                     rejected by the fencing token, {} handovers: no property violated",
                    upgrade.steps,
                    upgrade.slowest.as_millis(),
                    upgrade.checked.admitted,
                    upgrade.checked.refused,
                    upgrade.checked.handovers
                ),
                Err(reason) => {
                    println!("{name}, {direction}: {reason}");
                    exit = Exit::Failure;
                }
            }
        }
    }
    Ok(exit)
}
