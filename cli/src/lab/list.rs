//! `notchdoor lab list`: lists the built-in scenarios, the policies and the fault kinds.

use super::print_json;
use notchdoor_lab::policy::Kind;
use notchdoor_lab::scenario::{self, BUILT_IN};
use notchdoor_model::faults;
use std::collections::BTreeMap;

pub fn run(as_json: bool) {
    let description = |text: &str| {
        let spec = scenario::parse("built in", text).expect("built-in scenarios are valid");
        spec.about
    };
    if as_json {
        print_json(&serde_json::json!({
            "scenarios": BUILT_IN.iter().map(|(n, t)| (*n, description(t))).collect::<BTreeMap<_, _>>(),
            "policies": Kind::all().iter().map(|k| k.name()).collect::<Vec<_>>(),
            "faults": faults::FaultKind::ALL.iter().map(|k| (k.name(), k.description()))
                .collect::<BTreeMap<_, _>>(),
        }));
        return;
    }
    println!("Scenarios:");
    for (name, text) in BUILT_IN {
        println!("  {name:16} {}", description(text));
    }
    println!("\nPolicies:");
    for kind in Kind::all() {
        println!("  {}", kind.name());
    }
    println!("\nFault kinds, with their parameters and default values:");
    for kind in faults::FaultKind::ALL {
        let parameters: Vec<String> =
            kind.parameters().iter().map(|p| format!("{}={}", p.field.name(), p.default)).collect();
        println!("  {:16} {}\n  {:16} {}", kind.name(), kind.description(), "", parameters.join(" "));
    }
}
