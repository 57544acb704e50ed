//! Bad files, each with its exact message; good ones, with what they mean.

mod common;

use notchdoor::{Effect, Request, Scope, Tenant};
use notchdoor_limits::explain;
use notchdoor_limits::policy::{ConcurrencyLimit, Hedging, Policy};
use notchdoor_limits::policy_file::{parse, PolicyContext};

const MS: u64 = 1_000;

fn context() -> PolicyContext {
    let deduplicated = |scope| Effect::Deduplicated { scope, window: 1_000 * MS };
    let mut settings = common::settings(
        4,
        vec![
            common::class(750, 2.0, Effect::Idempotent),
            common::class(800, 3.0, deduplicated(Scope::All)),
            common::class(300, 8.0, Effect::AtMostOnce),
            common::class(800, 3.0, deduplicated(Scope::Zone)),
        ],
    );
    settings.tenants = vec![Tenant { quota_per_s: 93.0 }, Tenant { quota_per_s: 107.0 }];
    PolicyContext {
        settings,
        classes: ["read", "fix", "close", "zoned"].map(str::to_owned).to_vec(),
        deadlines: vec![2_000 * MS, 2_000 * MS, 600 * MS, 2_000 * MS],
        tenants: vec!["acme".to_owned(), "obras".to_owned()],
    }
}

fn error_messages(text: &str, context: &PolicyContext) -> Vec<String> {
    parse("p", text, context).err().unwrap_or_default().iter().map(ToString::to_string).collect()
}

/// A route for the reads with this in it, after one line for its head and two for name and class.
fn read_route(body: &str) -> String {
    format!("[[route]]\nname = 'r'\nclass = 'read'\n{body}\n")
}

fn class_route(class: &str, body: &str) -> String {
    format!("[[route]]\nname = 'r'\nclass = '{class}'\n{body}\n")
}

#[test]
fn invalid_files_are_rejected_with_exact_messages() {
    let cases: Vec<(String, &str)> = vec![
        // What is no file of this form.
        ("x = [".into(), "p:1:6: file: is no TOML: "),
        ("[default]\n[default]\n".into(), "p:2:2: file: is no TOML: "),
        ("[defualt]\n".into(), "p:1:2: defualt: no field is called 'defualt'; did you mean 'default'?"),
        ("route = 3\n".into(), "p:1:9: route: should be tables, each headed by [[route]]"),
        ("default = 3\n".into(), "p:1:11: default: should be a table such as [default]"),
        ("budget = 3\n".into(), "p:1:10: budget: should be a table such as [budget.reads]"),
        ("zzzzzzzzzz = 1\n".into(), "p:1:1: zzzzzzzzzz: no field is called 'zzzzzzzzzz'; there are default, route, budget, window, room"),
        // Names.
        ("[[route]]\nclass = 'read'\n".into(), "p:1:1: route.0.name: every route needs a name in quotes: messages and what it has learnt go by it"),
        ("[[route]]\nname = 5\n".into(), "p:2:8: route.0.name: every route needs a name in quotes: messages and what it has learnt go by it"),
        ("[[route]]\nname = 'default'\nclass = 'read'\n".into(), "p:2:8: route.default.name: 'default' is taken; give it another name"),
        ("[[route]]\nname = 'a'\nclass = 'read'\n[[route]]\nname = 'a'\nclass = 'fix'\n".into(), "p:5:8: route.a.name: 'a' is taken; give it another name"),
        (class_route("raed", ""), "p:3:9: route.r.class: no class is called 'raed'; did you mean 'read'?"),
        (class_route("zzzzzzzz", ""), "p:3:9: route.r.class: no class is called 'zzzzzzzz'; there are read, fix, close, zoned"),
        (read_route("tenant = 'acne'"), "p:4:10: route.r.tenant: no tenant is called 'acne'; did you mean 'acme'?"),
        (read_route("access = 'raed'"), "p:4:10: route.r.access: no access is called 'raed'; did you mean 'read'?"),
        (read_route("prefix = 7"), "p:4:10: route.r.prefix: should be text in quotes"),
        (read_route("budget = 'reads'"), "p:4:10: route.r.budget: no budget is called 'reads'; there is none"),
        (read_route("repeat = 'always'"), "p:4:10: route.r.repeat: no way of repeating is called 'always'; there are class, never"),
        (read_route("copies = 'nevr'"), "p:4:10: route.r.copies: no way of second copies is called 'nevr'; did you mean 'never'?"),
        (read_route("attemps = 2"), "p:4:1: route.r.attemps: no field is called 'attemps'; did you mean 'attempt'?"),
        ("[default]\nclass = 'read'\n".into(), "p:2:1: default.class: no field is called 'class'; there are attempt, total, attempts, backoff, copies, repeat, budget, budget_leave, concurrency, breaker, keep_free, retry_after"),
        // Units and numbers.
        (read_route("attempt = 300"), "p:4:11: route.r.attempt: 300 has no unit; write \"300ms\" or \"300s\""),
        (read_route("attempt = 0.3"), "p:4:11: route.r.attempt: 0.3 has no unit; write a time such as \"1500ms\""),
        (read_route("attempt = 'soon'"), "p:4:11: route.r.attempt: 'soon' is no time; \"300ms\" or \"2s\" would be"),
        (read_route("attempt = true"), "p:4:11: route.r.attempt: should be a time such as \"300ms\""),
        (read_route("attempt = '0ms'"), "p:4:11: route.r.attempt: 0s is out of range; 1ms to 1h is allowed"),
        (read_route("total = '2h'"), "p:4:9: route.r.total: 2h is out of range; 1ms to 1h is allowed"),
        (read_route("attempts = 4"), "p:4:12: route.r.attempts: 4 is out of range; 1 to 3 is allowed"),
        (read_route("attempts = 0"), "p:4:12: route.r.attempts: 0 is out of range; 1 to 3 is allowed"),
        (read_route("attempts = 1.5"), "p:4:12: route.r.attempts: should be a whole number from 1 to 3"),
        (read_route("attempts = -1"), "p:4:12: route.r.attempts: -1 is out of range; 1 to 3 is allowed"),
        (read_route("keep_free = nan"), "p:4:13: route.r.keep_free: nan is no number; 0 to 0.9 is allowed"),
        (read_route("keep_free = inf"), "p:4:13: route.r.keep_free: inf is out of range; 0 to 0.9 is allowed"),
        (read_route("keep_free = 1.0"), "p:4:13: route.r.keep_free: 1 is out of range; 0 to 0.9 is allowed"),
        (read_route("keep_free = 'x'"), "p:4:13: route.r.keep_free: should be a number from 0 to 0.9"),
        (read_route("budget_leave = 2"), "p:4:16: route.r.budget_leave: 2 is out of range; 0 to 0.9 is allowed"),
        (read_route("retry_after = '2s'"), "p:4:15: route.r.retry_after: 2s is out of range; 0s to 1s is allowed"),
        ("room = 0\n".into(), "p:1:8: room: 0 is out of range; 1 to 20000 is allowed"),
        ("room = 30000\n".into(), "p:1:8: room: 30000 is out of range; 1 to 20000 is allowed"),
        // Tables within.
        (read_route("backoff = '20ms'"), "p:4:11: route.r.backoff: should be a table such as { first = \"20ms\", most = \"200ms\", jitter = 0.5 }"),
        (read_route("backoff = { most = '1s' }"), "p:4:11: route.r.backoff.first: is missing"),
        (read_route("backoff = { first = '1s', most = '20ms' }"), "p:4:21: route.r.backoff.first: the first wait of 1s is longer than the longest, 20ms; swap them"),
        (read_route("backoff = { first = '20ms', jitter = 2.0 }"), "p:4:38: route.r.backoff.jitter: 2 is out of range; 0 to 1 is allowed"),
        (read_route("backoff = { first = '20ms', jiter = 0.2 }"), "p:4:29: route.r.backoff.jiter: no field is called 'jiter'; did you mean 'jitter'?"),
        (read_route("copies = { after = 0.95 }"), "p:4:10: route.r.copies.share: is missing"),
        (read_route("copies = { after = 0.2, share = 0.1 }"), "p:4:20: route.r.copies.after: 0.2 is out of range; 0.5 to 0.999 is allowed"),
        (read_route("copies = { after = 0.9, share = 0.8 }"), "p:4:33: route.r.copies.share: 0.8 is out of range; 0 to 0.5 is allowed"),
        (read_route("concurrency = 0"), "p:4:15: route.r.concurrency: 0 is out of range; 1 to 100000 is allowed"),
        (read_route("concurrency = { least = 9, most = 3 }"), "p:4:25: route.r.concurrency.least: the least of 9 is more than the most, 3; swap them"),
        (read_route("concurrency = { most = 3 }"), "p:4:15: route.r.concurrency.least: is missing"),
        (read_route("breaker = { failures = 0.5, window = '3s' }"), "p:4:11: route.r.breaker.open: is missing"),
        (read_route("breaker = { failures = 0.0, window = '3s', open = '1s' }"), "p:4:24: route.r.breaker.failures: 0 is out of range; 0.05 to 1 is allowed"),
        (read_route("breaker = { failures = 0.5, slow = 0.5, window = '3s', open = '1s' }"), "p:4:36: route.r.breaker.slow: says nothing without 'slow_after'; give both or neither"),
        (read_route("breaker = { failures = 0.5, window = '1ms', open = '1s' }"), "p:4:38: route.r.breaker.window: 1ms is out of range; 100ms to 10m is allowed"),
        (read_route("breaker = { failures = 0.5, window = '3s', open = '1s', trials = 0 }"), "p:4:66: route.r.breaker.trials: 0 is out of range; 1 to 100 is allowed"),
        // Budgets beyond what the origin can bear.
        ("[budget.a]\nshare = 0.2\n".into(), "p:1:1: budget.a.floor_per_s: is missing"),
        ("[budget.a]\nshare = 1.5\nfloor_per_s = 0\n".into(), "p:2:9: budget.a.share: 1.5 is out of range; 0 to 1 is allowed"),
        ("[budget.a]\nshare = 0.7\nfloor_per_s = 0\n[budget.b]\nshare = 0.6\nfloor_per_s = 0\n".into(), "p:5:9: budget.b.share: together the budgets add 1.30 attempts to each request, and the origin bears no more than 1 (rule 4); 0.30 would do here"),
        ("[budget.a]\nshare = 0.1\nfloor_per_s = 9\n".into(), "p:3:15: budget.a.floor_per_s: together the floors of 4 proxies add 36.0 attempts a second, over a tenth of the 200 that the shares allow (rule 4); 5.00 would do here"),
        ("[window]\nraed = 0.5\n".into(), "p:2:1: window.raed: no class is called 'raed'; did you mean 'read'?"),
        ("[window]\nread = 0.0\n".into(), "p:2:8: window.read: 0 is out of range; 0.1 to 1 is allowed"),
        // The rules.
        (class_route("close", "copies = { after = 0.95, share = 0.1 }"), "p:4:10: route.r.copies: second copies would reach 'close', which must never run twice (rule 2); write copies = \"never\" in a route for it"),
        (class_route("zoned", "copies = { after = 0.95, share = 0.1 }"), "p:4:10: route.r.copies: second copies would reach 'zoned', whose repeats only its own group drops (rule 2); write copies = \"never\" in a route for it"),
        (read_route("total = '3s'"), "p:4:9: route.r.total: 3s outlasts 'read', which clients give up after 2s (rule 1); \"2s\" would do"),
        (class_route("close", "attempt = '300ms'\nattempts = 3"), "p:4:11: route.r.attempt: 3 attempts of 'close' and the waits between them take up to 900ms, but it is given up after 600ms (rule 1); attempt = \"200ms\" would do"),
        (read_route("attempt = '600ms'\nattempts = 3\nbackoff = { first = '200ms', most = '1s' }"), "p:4:11: route.r.attempt: 3 attempts of 'read' and the waits between them take up to 2s400ms, but it is given up after 2s (rule 1); attempt = \"466ms\" would do"),
        (read_route("attempt = '600ms'\ntotal = '1s'\nattempts = 2"), "p:4:11: route.r.attempt: 2 attempts of 'read' and the waits between them take up to 1s200ms, but it is given up after 1s (rule 1); attempt = \"500ms\" would do"),
        (read_route("attempt = '600ms'\nattempts = 3\nbackoff = { first = '900ms', most = '2s' }"), "p:4:11: route.r.attempt: 3 attempts of 'read' and the waits between them take up to 4s500ms, but it is given up after 2s (rule 1); shorter waits or fewer attempts would do"),
        (read_route("backoff = { first = '900ms', most = '2s' }"), "p:4:11: route.r.backoff: the waits before the repeats of 'read' alone take up to 2s700ms, but it is given up after 2s (rule 1); most = \"333ms333us\" would do"),
        (class_route("fix", "attempt = '600ms'\nattempts = 3"), "p:4:11: route.r.attempt: the last repeat of 'fix' could start 1s200ms after the first attempt, but repeats are dropped for 1s only (rule 2); write repeat = \"never\" or a shorter attempt"),
        (read_route("total = '50ms'"), "p:4:9: route.r.total: 50ms starves 'read', which is wanted within 750ms: next to nothing could be served; \"750ms\" would do"),
        (read_route("attempt = '20ms'"), "p:4:11: route.r.attempt: 20ms starves 'read', which is wanted within 750ms; \"375ms\" would do"),
        (read_route("attempts = 1"), "p:4:12: route.r.attempts: 1 starves 'read': what a worker lacks could not be fetched, and a cold one would stay empty (rule 4); 2 would do"),
        (read_route("breaker = { failures = 0.5, slow = 0.5, slow_after = '35ms', window = '3s', open = '1s' }"), "p:4:11: route.r.breaker: 35ms is no slow answer to 'read', which is wanted within 750ms: servers would be left alone for what is usual; slow_after = \"375ms\" would do"),
        (class_route("close", "keep_free = 0.2"), "p:4:13: route.r.keep_free: 'close' is of the most worth, and would leave room for what is worth less; leave keep_free out of its route"),
        // Routes that nothing can come to.
        ("[[route]]\nname = 'a'\nclass = 'read'\n[[route]]\nname = 'b'\nclass = 'read'\n".into(), "p:5:8: route.b.name: takes exactly what 'a' takes, and so nothing; merge the two"),
        ("[[route]]\nname = 'a'\n".into(), ""),
        ("[[route]]\nname = 'a'\nclass = 'read'\naccess = 'read'\n[[route]]\nname = 'b'\nclass = 'read'\naccess = 'write'\n[[route]]\nname = 'c'\nclass = 'read'\n".into(), "p:10:8: route.c.name: takes nothing: routes for reads and for writes take all of it; remove it"),
    ];
    assert!(cases.len() >= 60);
    let mut mismatches = String::new();
    for (text, expected) in &cases {
        let messages = error_messages(text, &context());
        let first = messages.first().map_or("", String::as_str);
        // What the TOML library words is not ours to fix.
        let matches =
            if expected.ends_with("TOML: ") { first.starts_with(expected) } else { first == *expected };
        if !matches {
            mismatches += &format!("{text} got {first}\nwant {expected}\n");
        }
    }
    assert!(mismatches.is_empty(), "{mismatches}");
}

#[test]
fn errors_from_inherited_defaults_point_to_the_default_section() {
    let text = "[default]\ncopies = { after = 0.95, share = 0.1 }\n[[route]]\nname = 'c'\nclass = 'close'\nattempts = 2\n";
    let messages = error_messages(text, &context());
    assert_eq!(
        messages,
        [
            "p:2:10: default.copies: second copies would reach 'close', which must never run twice (rule 2); write copies = \"never\" in a route for it (as route 'c' inherits it)",
            "p:2:10: default.copies: second copies would reach 'zoned', whose repeats only its own group drops (rule 2); write copies = \"never\" in a route for it",
        ]
    );
    let fixed = format!("{text}copies = 'never'\n[[route]]\nname = 'z'\nclass = 'zoned'\ncopies = 'never'\n");
    assert_eq!(error_messages(&fixed, &context()), Vec::<String>::new());
    // Settings of another deployment: no retry-after, no second copies.
    let mut without_retry_after = context();
    (without_retry_after.settings.max_retry_after, without_retry_after.settings.hedging) = (0, false);
    let text =
        "[[route]]\nname = 'r'\nclass = 'read'\nretry_after = '1s'\ncopies = { after = 0.9, share = 0.1 }\n";
    assert_eq!(
        error_messages(text, &without_retry_after),
        [
            "p:4:15: route.r.retry_after: clients get no retry-after here (the settings say so); leave it out",
            "p:5:10: route.r.copies: second copies are not allowed here (the settings say so); write copies = \"never\"",
        ]
    );
}

#[test]
fn all_errors_are_returned_in_file_order() {
    let text = "room = 0\n[default]\nattempts = 9\n[[route]]\nname = 'r'\nclass = 'raed'\nattempt = 5\nkeep_free = 3\n";
    let lines: Vec<usize> = parse("p", text, &context()).unwrap_err().iter().map(|p| p.line).collect();
    assert_eq!(lines, [1, 3, 6, 7, 8]);
    let snippet = parse("p", text, &context()).unwrap_err()[3].snippet();
    assert_eq!(snippet, "  |\n7 | attempt = 5\n  |           ^");
}

const VALID_POLICY: &str = r#"
room = 400
[window]
read = 0.75
[budget.b]
share = 0.2
floor_per_s = 1.0
[default]
budget = "b"
attempts = 2
[[route]]
name = "reads"
class = "read"
attempts = 3
copies = { after = 0.95, share = 0.05 }
[[route]]
name = "acme"
tenant = "acme"
concurrency = { least = 4, most = 64 }
[[route]]
name = "sheets"
prefix = "sheet/"
class = "read"
budget = "none"
[[route]]
name = "old-sheets"
prefix = "sheet/20"
class = "read"
attempt = "400ms"
"#;

fn request(policy: &Policy, class: u32, tenant: Option<u32>, key: &str) -> Request {
    let group = policy.group(key.as_bytes());
    Request { id: 1, class: Some(class), tenant, key: None, group, write: class > 0, deadline: 0 }
}

#[test]
fn most_specific_route_matches_and_inherits_from_the_default() {
    let policy = parse("p", VALID_POLICY, &context()).unwrap_or_else(|p| panic!("{p:?}"));
    // class, tenant, key, the route, attempts
    for (class, tenant, key, name, attempts) in [
        (0, None, "sheet/2026/7", "old-sheets", 2),
        (0, Some(0), "sheet/19", "sheets", 2),
        (0, Some(0), "record/1", "reads", 3),
        (0, None, "sheet", "reads", 3),
        (1, Some(0), "sheet/2026", "acme", 2),
        (2, Some(1), "sheet/2026", "default", 2),
        (2, None, "", "default", 2),
    ] {
        let request = request(&policy, class, tenant, key);
        let explain::SelectedRoute { route, skipped } = explain::select_route(&policy, &request);
        assert_eq!((route.name.as_str(), route.limits.max_attempts), (name, Some(attempts)), "{key}");
        assert_eq!(skipped.len(), policy.route_index(&request), "every route before it is told of");
    }
    let limits_of = |name: &str| &policy.routes.iter().find(|r| r.name == name).unwrap().limits;
    assert_eq!((limits_of("sheets").retry_budget, limits_of("reads").retry_budget), (None, Some(0)));
    assert!(matches!(limits_of("reads").hedging, Hedging::AfterQuantile { .. }));
    assert!(
        matches!(limits_of("acme").concurrency, Some(ConcurrencyLimit::Adaptive(b)) if (b.min, b.max) == (4, 64))
    );
    assert_eq!(
        (policy.max_in_flight, policy.window_shares.as_slice()),
        (Some(400), &[0.75, 1.0, 1.0, 1.0][..])
    );
}

#[test]
fn worst_case_timeline_scales_with_the_client_timeout() {
    let text = "[[route]]\nname = 'r'\nclass = 'read'\nattempt = '500ms'\nbackoff = { first = '100ms', most = '150ms' }\n[[route]]\nname = 'c'\nclass = 'close'\nattempt = '250ms'\nattempts = 2\n";
    let policy = parse("p", text, &context()).unwrap();
    let step_times_ms = |class: u32, client_timeout_ms: u64| -> Vec<u64> {
        let route = explain::select_route(&policy, &request(&policy, class, None, "")).route;
        explain::worst_case_timeline(route, &context(), class, client_timeout_ms * MS)
            .iter()
            .map(|s| s.at / MS)
            .collect()
    };
    assert_eq!(step_times_ms(0, 2_000), [0, 600, 1250, 2000]);
    assert_eq!(
        step_times_ms(0, 1_000),
        [0, 600, 1000],
        "no total of its own: what does not fit is not begun"
    );
    assert_eq!(step_times_ms(2, 600), [0, 250, 600], "what may have run is not repeated");
    let read_route = policy.routes.iter().find(|r| r.name == "r").unwrap().clone();
    let mut with_total = read_route;
    with_total.limits.total_timeout = Some(2_000 * MS);
    let steps = explain::worst_case_timeline(&with_total, &context(), 0, 1_000 * MS);
    assert_eq!(steps.iter().map(|s| s.at / MS).collect::<Vec<_>>(), [0, 300, 625, 1000]);
}
