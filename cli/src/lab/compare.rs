//! `notchdoor lab compare`: compares two results day by day.

use super::print_json;
use crate::{CommandResult, Exit};
use clap::Args;
use notchdoor_lab::record::Day;
use notchdoor_lab::{compare, experiment};
use std::path::{Path, PathBuf};

#[derive(Args)]
pub struct CompareOptions {
    /// First result: an output directory of `lab run`, or its result.json.
    a: PathBuf,
    /// Second result.
    b: PathBuf,
    /// Policy of the first result to compare.
    #[arg(long = "a", value_name = "POLICY", default_value = "notchdoor")]
    policy_a: String,
    /// Policy of the second result to compare.
    #[arg(long = "b", value_name = "POLICY", default_value = "notchdoor")]
    policy_b: String,
    /// Print JSON instead of a table.
    #[arg(long)]
    json: bool,
}

pub fn run(options: &CompareOptions) -> CommandResult {
    let load = |path: &Path, policy: &str| -> Result<Vec<Day>, String> {
        let days = experiment::read(path)?;
        let days: Vec<Day> = days.into_iter().filter(|d| d.policy == policy).collect();
        if days.is_empty() {
            return Err(format!("{}: contains no day of policy '{policy}'", path.display()));
        }
        Ok(days)
    };
    let (a, b) = (load(&options.a, &options.policy_a)?, load(&options.b, &options.policy_b)?);
    let lines = compare::compare(&a, &b)?;
    let worse = compare::lost(&a, &b, &lines);
    if options.json {
        print_json(&serde_json::json!({"lines": lines, "lost": worse}));
    } else {
        println!(
            "A: {} ({}), B: {} ({})",
            options.a.display(),
            options.policy_a,
            options.b.display(),
            options.policy_b
        );
        println!("{}", compare::table(&lines));
    }
    Ok(if worse { Exit::Failure } else { Exit::Success })
}
