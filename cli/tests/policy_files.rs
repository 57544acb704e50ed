//! `notchdoor check policy`: its output for a valid file, and exit code, position and message for invalid ones.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const EXPECTED_EXPLANATIONS: &str = include_str!("data/explained.txt");

fn check(file: &Path, extra_args: &[&str]) -> Output {
    let settings = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/settings.json");
    Command::new(env!("CARGO_BIN_EXE_notchdoor"))
        .args(["check", "policy"])
        .arg(file)
        .arg("--settings")
        .arg(settings)
        .args(extra_args)
        .output()
        .unwrap()
}

fn write_temp_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("notchdoor-policy-{}-{name}.toml", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

#[test]
fn valid_file_is_explained_as_in_the_fixture() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../limits/tests/data/every-key.toml");
    let mut printed = String::new();
    for line in EXPECTED_EXPLANATIONS.lines() {
        let Some(request) = line.strip_prefix("== ") else { continue };
        let output = check(&file, &["--explain", request]);
        assert_eq!(output.status.code(), Some(0), "{output:?}");
        let text = String::from_utf8(output.stdout).unwrap().replace(&file.display().to_string(), "FILE");
        printed += &format!("== {request}\n{text}");
    }
    assert_eq!(printed, EXPECTED_EXPLANATIONS);
}

#[test]
fn invalid_file_exits_with_2_and_names_line_and_column() {
    let route = "[[route]]\nname = 'r'\nclass = 'read'\n";
    let cases = [
        ("room = [\n", "1:9: file: invalid TOML: "),
        ("room = 0\n", "1:8: room: 0 is out of range; 1 to 20000 is allowed"),
        (&format!("{route}attempt = 300\n"), "4:11: route.r.attempt: duration 300 has no unit; use \"300ms\" or \"300s\""),
        (&format!("{route}attemps = 2\n"), "4:1: route.r.attemps: unknown field 'attemps'; did you mean 'attempt'?"),
        (&format!("{route}budget = 'b'\n"), "4:10: route.r.budget: unknown budget 'b'; none is defined"),
        (&format!("{route}breaker = {{ failures = 0.5 }}\n"), "4:11: route.r.breaker.window: missing required field"),
        (&format!("{route}total = '3s'\n"), "4:9: route.r.total: 3s is longer than clients of class 'read' wait, which is 2s (rule 1); use at most \"2s\""),
        ("[window]\nraed = 0.5\n", "2:1: window.raed: unknown class 'raed'; did you mean 'read'?"),
    ];
    for (n, (text, expected)) in cases.iter().enumerate() {
        let file = write_temp_file(&n.to_string(), text);
        let output = check(&file, &[]);
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{text}: {stderr}");
        assert!(stderr.starts_with(&format!("notchdoor: {}:{expected}", file.display())), "{text}: {stderr}");
        assert!(output.stdout.is_empty(), "{output:?}");
        std::fs::remove_file(file).unwrap();
    }
}

#[test]
fn invalid_explain_request_exits_with_2() {
    let file = write_temp_file("explain", "");
    for (request, expected) in [
        ("class", "--explain: expected NAME=VALUE, got 'class'"),
        ("class=raed", "--explain: unknown class 'raed'; available: read, fix, close"),
        ("class=read,tenant=x", "--explain: unknown tenant 'x'; available: acme, obras"),
        ("class=read,d=soon", "--explain: 'soon' is not a duration"),
        ("class=read,x=1", "--explain: unknown field 'x'; expected class, tenant, key, d or access"),
        ("key=x", "--explain: missing class=NAME"),
    ] {
        let output = check(&file, &["--explain", request]);
        assert_eq!(output.status.code(), Some(2), "{request}");
        assert_eq!(String::from_utf8_lossy(&output.stderr), format!("notchdoor: {expected}\n"));
    }
    std::fs::remove_file(file).unwrap();
}
