//! `notchdoor lab pairs`: this program and earlier revisions of it on one lease group.

use crate::{CommandResult, Exit};
use clap::Args;
use notchdoor_testbed::group::fleet::Plan;
use notchdoor_testbed::group::pairs;
use std::path::PathBuf;

#[derive(Args)]
pub struct PairsOptions {
    /// An earlier revision; those of `testbed/revisions.txt` where none is given.
    #[arg(long = "with", value_name = "REVISION")]
    revisions: Vec<String>,
    /// An earlier build of the program, in place of revisions.
    #[arg(long, value_name = "FILE", conflicts_with = "revisions")]
    program: Option<PathBuf>,
    /// The repository whose history has the revisions.
    #[arg(long, value_name = "DIR", default_value = ".")]
    repository: PathBuf,
    /// Where revisions are built and kept.
    #[arg(long, value_name = "DIR", default_value = "target/pairs")]
    folder: PathBuf,
    /// The bound on versions that the proxies act on, in milliseconds; 0 for none.
    #[arg(long, default_value_t = 2000)]
    within_ms: u64,
}

pub fn run(options: &PairsOptions) -> CommandResult {
    let current = std::env::current_exe().map_err(|e| format!("this program cannot be found: {e}"))?;
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
        // Both ways: from the earlier one to this and back, and the other way round.
        let directions = [(earlier, &current, "to this one"), (&current, earlier, "from this one")];
        for (n, (from, to, direction)) in directions.into_iter().enumerate() {
            let folder = std::env::temp_dir().join(format!("notchdoor-pairs-{}-{n}", std::process::id()));
            let within = (options.within_ms > 0).then_some(options.within_ms);
            let plan = Plan { within_ms: within, ..Plan::new(from, folder) };
            match pairs::upgrade(plan, to) {
                Ok(upgrade) => println!(
                    "{name}, {direction}: {} processes changed, a holder acted after {} ms at most; {} actions let in, {} \
                     refused by the fence, {} handovers: nothing broken",
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
