//! The request that `check policy --explain` asks about.

use notchdoor::{Effect, Micros, Request};
use notchdoor_limits::explain;
use notchdoor_limits::policy::Policy;
use notchdoor_limits::policy_file::{format_duration, parse_duration, PolicyContext};

/// A request in the words of the command line.
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
            let (name, value) =
                pair.split_once('=').ok_or_else(|| format!("--explain: '{pair}' should be NAME=VALUE"))?;
            match name {
                "class" => class = Some(index_of("class", value, &context.classes)?),
                "tenant" => request.tenant = Some(index_of("tenant", value, &context.tenants)?),
                "key" => request.key = value.to_owned(),
                "d" => {
                    let deadline = parse_duration(value);
                    request.deadline =
                        Some(deadline.ok_or_else(|| format!("--explain: '{value}' is no time"))?);
                }
                "access" => request.write = Some(value == "write"),
                unknown => {
                    return Err(format!("--explain: '{unknown}' is none of class, tenant, key, d, access"))
                }
            }
        }
        request.class = class.ok_or("--explain: class=NAME is missing")?;
        Ok(request)
    }

    /// Prints which route takes the request, why not those before it, and the timetable of its worst case.
    pub fn print(&self, policy: &Policy, context: &PolicyContext) {
        let class_deadline = context.deadlines[self.class as usize];
        let deadline = self.deadline.unwrap_or(class_deadline).min(class_deadline);
        let selection = explain::select_route(policy, &self.request(policy, context));
        println!("route '{}' takes it", selection.route.name);
        for skipped in &selection.skipped {
            println!("  passed over {skipped}");
        }
        println!("worst case, for a client that waits {}:", format_duration(deadline));
        for step in explain::worst_case_timeline(selection.route, context, self.class, deadline) {
            println!("  {:>8}  {}", format_duration(step.at), step.event);
        }
        for line in explain::describe_limits(selection.route, policy) {
            println!("{line}");
        }
    }

    /// The request as the router would get it; classes that may be repeated freely are reads unless it says otherwise.
    fn request(&self, policy: &Policy, context: &PolicyContext) -> Request {
        let effect = context.settings.classes[self.class as usize].effect;
        Request {
            id: 1,
            class: Some(self.class),
            tenant: self.tenant,
            key: None,
            group: policy.group(self.key.as_bytes()),
            write: self.write.unwrap_or(effect != Effect::Idempotent),
            deadline: 0,
        }
    }
}

fn index_of(kind: &str, name: &str, names: &[String]) -> Result<u32, String> {
    notchdoor_settings::index_of(names, name)
        .ok_or_else(|| format!("--explain: no {kind} is called '{name}'; there are {}", names.join(", ")))
}
