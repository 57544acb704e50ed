//! Parses and validates the policy file that operators write.
//!
//! Parsing continues after an error and reports all errors at once. An error contains the file, line, column and field,
//! and the violated rule and a valid value where there is one.

mod duration;
mod error;
mod reader;
mod route_limits;
mod rules;
mod sections;

pub use duration::{format_duration, parse_duration};
pub use error::PolicyError;

use crate::policy::Policy;
use notchdoor::{Micros, Settings};
use reader::{Reader, Section};
use rules::RuleChecks;
use sections::SectionReader;
use std::cmp::Reverse;
use toml_edit::Document;

/// Deployment settings and names that a policy file is validated against.
#[derive(Clone, Debug)]
pub struct PolicyContext {
    /// Settings of the deployment.
    pub settings: Settings,
    /// Class names, in the order of the settings.
    pub classes: Vec<String>,
    /// How long clients of each class wait in total, in the order of the settings.
    pub deadlines: Vec<Micros>,
    /// Tenant names, in the order of the settings.
    pub tenants: Vec<String>,
}

/// Maximum size of a policy file.
const MAX_FILE_BYTES: usize = 1 << 20;
const ROOT_KEYS: [&str; 5] = ["default", "route", "budget", "window", "room"];

/// Parses and validates a policy file. `file` is its name for messages. On failure, returns all errors in file order.
pub fn parse(file: &str, text: &str, context: &PolicyContext) -> Result<Policy, Vec<PolicyError>> {
    let mut reader = Reader::new(file, text);
    let file_field = || "file".to_owned();
    if text.len() > MAX_FILE_BYTES {
        reader.report(&(0..0), file_field(), format!("larger than the maximum of {MAX_FILE_BYTES} bytes"));
        return Err(reader.into_errors());
    }
    match Document::parse(text) {
        Ok(document) => {
            let root = Section { table: document.as_table(), path: String::new(), span: 0..0 };
            let policy = read_policy(&mut reader, &root, context);
            let errors = reader.into_errors();
            if errors.is_empty() {
                Ok(policy)
            } else {
                Err(errors)
            }
        }
        Err(error) => {
            let span = error.span().unwrap_or(0..0);
            let message = format!("invalid TOML: {}", error.message().replace('\n', "; "));
            reader.report(&span, file_field(), message);
            Err(reader.into_errors())
        }
    }
}

/// Builds the policy from a parsed document. The result is only valid if the reader has no errors afterwards.
fn read_policy(reader: &mut Reader<'_>, root: &Section<'_>, context: &PolicyContext) -> Policy {
    reader.reject_unknown_keys(root, &ROOT_KEYS);
    let mut sections = SectionReader { reader, root, context };
    let retry_budgets = sections.retry_budgets();
    let budget_names: Vec<&str> = retry_budgets.iter().map(|budget| budget.name.as_str()).collect();
    let max_room = context.settings.max_in_flight.max(1);
    let max_in_flight = sections.reader.integer(root, "room", 1..=max_room);
    let window_shares = sections.window_shares();
    let default = sections.default_route(&budget_names);
    let mut routes = sections.routes(&default.route.limits, &budget_names);
    // Most specific first. The sort is stable, so that the checks report the later one of two equal routes.
    routes.sort_by_key(|entry| Reverse(entry.route.matcher.specificity()));
    routes.push(default);
    RuleChecks { context, routes: &routes }.run(reader);
    let routes = routes.into_iter().map(|entry| entry.route).collect();
    Policy::new(routes, retry_budgets, max_in_flight, window_shares)
}
