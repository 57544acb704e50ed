//! The operators' policy file: read, and checked against the rules, all of it at once.
//!
//! Every error names the file, line and column, the field, the rule that it breaks, and a value that would do.

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

/// What a file is checked against: the deployment's settings and names.
#[derive(Clone, Debug)]
pub struct PolicyContext {
    /// The settings.
    pub settings: Settings,
    /// The classes' names, in the settings' order.
    pub classes: Vec<String>,
    /// How long clients of each class wait over all tries.
    pub deadlines: Vec<Micros>,
    /// The tenants' names.
    pub tenants: Vec<String>,
}

/// Larger files are refused: no deployment has so many routes.
const MAX_FILE_BYTES: usize = 1 << 20;
const ROOT_KEYS: [&str; 5] = ["default", "route", "budget", "window", "room"];

/// Reads and checks a policy. The errors come in the order of the file, all of them.
pub fn parse(file: &str, text: &str, context: &PolicyContext) -> Result<Policy, Vec<PolicyError>> {
    let mut reader = Reader::new(file, text);
    let whole_file = || "file".to_owned();
    if text.len() > MAX_FILE_BYTES {
        reader.report(&(0..0), whole_file(), format!("is larger than {MAX_FILE_BYTES} bytes"));
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
            let message = format!("is no TOML: {}", error.message().replace('\n', "; "));
            reader.report(&span, whole_file(), message);
            Err(reader.into_errors())
        }
    }
}

/// The policy that a file says; it means nothing if the reader has errors after it.
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
    // Most specific first; of equals, which the checks refuse, the one that stands first.
    routes.sort_by_key(|entry| Reverse(entry.route.matcher.specificity()));
    routes.push(default);
    RuleChecks { context, routes: &routes }.run(reader);
    let routes = routes.into_iter().map(|entry| entry.route).collect();
    Policy::new(routes, retry_budgets, max_in_flight, window_shares)
}
