//! `notchdoor check`: files, looked at without being used.

use crate::{Exit, Outcome};
use clap::Subcommand;
use notchdoor_lab::scenario;
use notchdoor_proxy::lifecycle::config::Config;
use std::path::PathBuf;

#[derive(Subcommand)]
pub enum Command {
    /// A proxy's configuration, as EDGE_CONFIG names one.
    #[command(after_help = "Example:\n  notchdoor check config config.json")]
    Config {
        /// The file.
        file: PathBuf,
    },
    /// Scenario files of the lab.
    #[command(after_help = "Example:\n  notchdoor check scenario my-day.toml lab/scenarios/found/*.toml")]
    Scenario {
        /// The files, or names of built-in scenarios.
        #[arg(required = true)]
        files: Vec<String>,
    },
}

pub fn run(command: &Command) -> Outcome {
    match command {
        Command::Config { file } => {
            let name = file.display();
            let text = std::fs::read(file).map_err(|e| format!("{name}: cannot read: {e}"))?;
            // The variables of this shell are not those of the proxy.
            let config = Config::parse(&text, |_| None).map_err(|e| format!("{name}: {e}"))?;
            println!("{name}: good: {} on {}, registry at {}", config.name, config.listen, config.registry);
        }
        Command::Scenario { files } => {
            let mut wrong = Vec::new();
            for file in files {
                match scenario::load(file, &[]) {
                    Ok(s) => println!(
                        "{file}: good: {} workers, {} proxies, {} faults",
                        s.spec.workers.count,
                        s.spec.proxies,
                        s.spec.faults.len()
                    ),
                    Err(why) => wrong.push(why),
                }
            }
            if !wrong.is_empty() {
                return Err(wrong.join("\n"));
            }
        }
    }
    Ok(Exit::Good)
}
