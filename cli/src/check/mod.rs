//! `notchdoor check`: validates configuration, policy and scenario files.

mod explained_request;

use crate::{CommandResult, Exit};
use clap::Subcommand;
use explained_request::ExplainedRequest;
use notchdoor_lab::scenario::{self, Scenario};
use notchdoor_limits::policy::Policy;
use notchdoor_limits::policy_file::{self, PolicyContext};
use notchdoor_proxy::lifecycle::config::Config;
use notchdoor_settings::{bounded_file, DeploymentSettings};
use std::path::{Path, PathBuf};

#[derive(Subcommand)]
pub enum Command {
    /// Check a proxy's configuration file (see EDGE_CONFIG).
    #[command(after_help = "Example:\n  notchdoor check config config.json")]
    Config {
        /// The configuration file.
        file: PathBuf,
    },
    /// Check a policy file (limits by route and class) against a deployment's settings and report all errors.
    #[command(after_help = "Examples:
  notchdoor check policy deploy/policy.example.toml --settings config.json
  notchdoor check policy policy.toml --settings config.json --explain class=close-week,tenant=acme,key=sheet/7")]
    Policy {
        /// The policy file.
        file: PathBuf,
        /// The deployment settings: a proxy's configuration, or only its `settings` object.
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
        /// Print the route selected for a request and its worst-case timeline: class=NAME[,tenant=NAME][,key=TEXT][,d=TIME]
        /// [,access=read|write].
        #[arg(long, value_name = "REQUEST")]
        explain: Option<String>,
    },
    /// Check scenario files of the lab.
    #[command(after_help = "Example:\n  notchdoor check scenario my-day.toml lab/scenarios/found/*.toml")]
    Scenario {
        /// Scenario files, or names of built-in scenarios.
        #[arg(required = true)]
        files: Vec<String>,
    },
}

/// Reads and validates a policy file after applying the changes in `set` (`path=value`). The error lists every
/// problem with its line.
pub fn read_policy(path: &Path, set: &[&str], context: &PolicyContext) -> Result<Policy, String> {
    let mut name = path.display().to_string();
    let mut text = bounded_file::read_text(path, bounded_file::MAX_AUTHORED_BYTES)
        .map_err(|e| format!("{name}: cannot read: {e}"))?;
    if !set.is_empty() {
        text = scenario::changed(&text, set.iter().copied()).map_err(|reason| format!("{name}: {reason}"))?;
        name = format!("{name} with {}", set.join(" "));
    }
    policy_file::parse(&name, &text, context).map_err(|errors| {
        let lines: Vec<String> = errors.iter().map(|e| format!("{e}\n{}", e.snippet())).collect();
        lines.join("\n")
    })
}

/// Reads deployment settings from a proxy's configuration, or from a file with only its `settings` object.
fn read_policy_context(path: &Path) -> Result<PolicyContext, String> {
    let name = path.display();
    let text = bounded_file::read_bytes(path, bounded_file::MAX_CONFIG_BYTES)
        .map_err(|e| format!("{name}: cannot read: {e}"))?;
    let mut json: serde_json::Value = serde_json::from_slice(&text).map_err(|e| format!("{name}: {e}"))?;
    let settings = json.get_mut("settings").map(serde_json::Value::take).unwrap_or(json);
    let settings: DeploymentSettings =
        serde_json::from_value(settings).map_err(|e| format!("{name}: settings: {e}"))?;
    Ok(settings.policy_context())
}

pub fn run(command: &Command) -> CommandResult {
    match command {
        Command::Policy { file, settings, explain } => check_policy(file, settings, explain.as_deref())?,
        Command::Config { file } => check_config(file)?,
        Command::Scenario { files } => check_scenarios(files)?,
    }
    Ok(Exit::Success)
}

fn check_policy(file: &Path, settings: &Path, request: Option<&str>) -> Result<(), String> {
    let context = read_policy_context(settings)?;
    let policy = read_policy(file, &[], &context)?;
    let (routes, budgets) = (policy.routes.len(), policy.retry_budgets.len());
    println!("{}: OK: {routes} routes (including the default), {budgets} retry budgets", file.display());
    if let Some(request) = request {
        ExplainedRequest::parse(request, &context)?.print(&policy, &context);
    }
    Ok(())
}

fn check_config(file: &Path) -> Result<(), String> {
    let name = file.display();
    let text = bounded_file::read_bytes(file, bounded_file::MAX_CONFIG_BYTES)
        .map_err(|e| format!("{name}: cannot read: {e}"))?;
    // Environment overrides are ignored: this shell's variables need not be those of the proxy.
    let config = Config::parse(&text, |_| None).map_err(|e| format!("{name}: {e}"))?;
    println!("{name}: OK: {} on {}, discovery at {}", config.name, config.listen, config.discovery);
    Ok(())
}

/// Checks every file, also after a failure, and reports all errors together.
fn check_scenarios(files: &[String]) -> Result<(), String> {
    let mut errors = Vec::new();
    for file in files {
        match scenario::load(file, &[]) {
            Ok(Scenario { spec, .. }) => println!(
                "{file}: OK: {} backends, {} proxies, {} faults",
                spec.backends.count,
                spec.proxies,
                spec.faults.len()
            ),
            Err(error) => errors.push(error),
        }
    }
    if errors.is_empty() {
        Ok(())
    } else {
        Err(errors.join("\n"))
    }
}
