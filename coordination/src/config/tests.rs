use super::*;

const THREE: &str = "[group]\nid = 2\ndata = \"m2\"\n\n[[member]]\nid = 1\npeer = \"127.0.0.1:7101\"\nclient = \"127.0.0.1:7201\"\n\n[[member]]\nid = 2\npeer = \"127.0.0.1:7102\"\nclient = \"127.0.0.1:7202\"\n\n[[member]]\nid = 3\npeer = \"127.0.0.1:7103\"\nclient = \"127.0.0.1:7203\"\n";

#[test]
fn member_settings_are_parsed_and_errors_name_line_and_field() {
    let config = parse("g.toml", THREE).unwrap();
    assert_eq!((config.id, config.me().peer.port(), config.pace.election_ticks), (2, 7102, 10));
    let bad = THREE.replace("id = 2\ndata", "id = 9\ndata");
    assert_eq!(parse("g.toml", &bad).unwrap_err(), "g.toml:2: group.id: 9 is not the id of a [[member]]");
    let short = format!("{THREE}\n[lease]\nmax_ttl_ms = 800\n");
    assert_eq!(
        parse("g.toml", &short).unwrap_err(),
        "g.toml:21: lease.max_ttl_ms: must be at least the election timeout (1000 ms)"
    );
    let typo = THREE.replace("peer = \"127.0.0.1:7103\"", "peer = \"127.0.0.1:71o3\"");
    assert!(
        parse("g.toml", &typo).unwrap_err().starts_with("g.toml:17: "),
        "{}",
        parse("g.toml", &typo).unwrap_err()
    );
}

#[test]
fn proxy_settings_are_parsed_and_errors_name_the_invalid_task() {
    let text = "[[member]]\nid = 1\nclient = \"127.0.0.1:7201\"\n\n[[task]]\nname = \"warm\"\ncall = \"127.0.0.1:9\"\n\n[[task]]\nname = \"probe\"\nttl_ms = 2000\nevery_ms = 100\ncall = \"127.0.0.1:9\"\npath = \"/origin\"\n";
    let config = parse_tasks("t.toml", text).unwrap();
    assert_eq!((config.members.len(), config.tasks[0].ttl_ms, config.tasks[1].every_ms), (1, 5_000, 100));
    for (from, to, told) in [
        ("every_ms = 100", "every_ms = 1", "t.toml:12: task.every_ms: must be from 10 to 3600000"),
        ("ttl_ms = 2000", "ttl_ms = 20", "t.toml:11: task.ttl_ms: must be from 500 to 60000"),
        ("\"probe\"", "\"a b\"", "t.toml:10: task.name: must be 1 to 128 bytes"),
        ("\"probe\"", "\"warm\"", "t.toml:6: task.name: at most 64 tasks are allowed"),
        ("\"/origin\"", "\"/o r\"", "t.toml:14: task.path: "),
        ("every_ms", "evry_ms", "t.toml:12: unknown field `evry_ms`"),
    ] {
        let error = parse_tasks("t.toml", &text.replacen(from, to, 1)).unwrap_err();
        assert!(error.starts_with(told), "{error}");
    }
    let copies = "\n[copies]\nmachine = \"m1\"\nlisten = \"127.0.0.1:7301\"\ndata = \"d\"\nleast = 2\n";
    let config = parse_tasks("t.toml", &format!("{text}{copies}")).unwrap().copies.unwrap();
    assert_eq!((config.shape().shards, config.shape().copies, config.zone.as_str()), (64, 3, "-"));
    for (from, to, told) in [
        ("least = 2", "least = 4", "t.toml:20: copies.least: must be from 1 to copies"),
        ("\"m1\"", "\"\"", "t.toml:17: copies.machine: must be 1 to 64 bytes"),
        ("least", "lest", "t.toml:20: unknown field `lest`"),
    ] {
        let error = parse_tasks("t.toml", &format!("{text}{}", copies.replacen(from, to, 1))).unwrap_err();
        assert!(error.starts_with(told), "{error}");
    }
}
