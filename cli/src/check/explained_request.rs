//! The request given to `check policy --explain`.

use notchdoor::{Effect, Micros, Request};
use notchdoor_limits::explain;
use notchdoor_limits::policy::Policy;
use notchdoor_limits::policy_file::{format_duration, parse_duration, PolicyContext};

/// A request as described on the command line.
#[derive(Default)]
pub struct ExplainedRequest {
    class: u32,
    tenant: Option<u32>,
    key: String,
    deadline: Option<Micros>,
    write: Option<bool>,
}

impl ExplainedRequest {
    /// Reads `class=NAME[,tenant=NAME][,key=TEXT][,d=TIME][,access=read|write]`.
    pub fn parse(text: &str, context: &PolicyContext) -> Result<Self, String> {
        let mut request = ExplainedRequest::default();
        let mut class = None;
        for pair in text.split(',') {
            let (name, value) = pair
                .split_once('=')
                .ok_or_else(|| format!("--explain: expected NAME=VALUE, got '{pair}'"))?;
            match name {
                "class" => class = Some(index_of("class", value, &context.classes)?),
                "tenant" => request.tenant = Some(index_of("tenant", value, &context.tenants)?),
                "key" => request.key = value.to_owned(),
                "d" => {
                    let deadline = parse_duration(value);
                    request.deadline =
                        Some(deadline.ok_or_else(|| format!("--explain: '{value}' is not a duration"))?);
                }
                "access" => request.write = Some(value == "write"),
                unknown => {
                    return Err(format!(
                        "--explain: unknown field '{unknown}'; expected class, tenant, key, d or access"
                    ))
                }
            }
        }
        request.class = class.ok_or("--explain: missing class=NAME")?;
        Ok(request)
    }

    /// Prints the selected route, why earlier routes were skipped, and the worst-case timeline.
    pub fn print(&self, policy: &Policy, context: &PolicyContext) {
        let class_deadline = context.deadlines[self.class as usize];
        let deadline = self.deadline.unwrap_or(class_deadline).min(class_deadline);
        let selection = explain::select_route(policy, &self.request(policy, context));
        println!("selected route '{}'", selection.route.name);
        for skipped in &selection.skipped {
            println!("  skipped {skipped}");
        }
        println!("worst case for a client deadline of {}:", format_duration(deadline));
        for step in explain::worst_case_timeline(selection.route, context, self.class, deadline) {
            println!("  {:>8}  {}", format_duration(step.at), step.event);
        }
        for line in explain::describe_limits(selection.route, policy) {
            println!("{line}");
        }
    }

    /// Builds the request passed to the router. Without `access`, requests of idempotent classes are reads and all
    /// others are writes.
    fn request(&self, policy: &Policy, context: &PolicyContext) -> Request {
        let effect = context.settings.classes[self.class as usize].effect;
        Request {
            id: 1,
            class: Some(self.class),
            tenant: self.tenant,
            key: None,
            group: policy.group(self.key.as_bytes()),
            write: self.write.unwrap_or(effect != Effect::Idempotent),
            upload: false,
            deadline: 0,
        }
    }
}

fn index_of(kind: &str, name: &str, names: &[String]) -> Result<u32, String> {
    notchdoor_settings::index_of(names, name)
        .ok_or_else(|| format!("--explain: unknown {kind} '{name}'; available: {}", names.join(", ")))
}
