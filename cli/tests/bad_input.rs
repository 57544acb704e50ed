//! Malformed, truncated and oversized input for every kind of file that the program reads: parsing returns an error that
//! names the file, and does not panic or hang.

use notchdoor_lab::{experiment, scenario};
use notchdoor_limits::policy_file::{self as limits, PolicyContext};
use notchdoor_load::arrivals::Arrivals;
use notchdoor_proxy::lifecycle::config::Config;
use notchdoor_settings::{bounded_file, DeploymentSettings};
use std::path::{Path, PathBuf};

const CONFIG: &str = r#"{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"7",
"limits":{"memory_mb":192,"sockets":1024},"known":{"rev":41,"all":true,"targets":[{"uid":"w","endpoint":"127.0.0.1:3",
"state":"in_service","boot_ms":0}]},"settings":{"balancers":1,"grades":[{"name":"read","aim":750.0,"deadline":2000.0,
"effect":"idempotent","points":2.0}],"dcs":["a"],"skus":["std","origin"],"discovery":"on_request",
"familyInfo":{"originKind":1},"limits":{"maxAttempts":3,"mostHeld":20000,"retryAfter":true,"maxRetryAfter":1000.0},
"obligations":{"askEvery":10000.0,"cold":8100.0,"coldFrom":0.31,"fallMultiple":4.0,"tipAfter":2000.0}}}"#;
const POLICY: &str = "room = 50\n[budget.b]\nshare = 0.1\nfloor_per_s = 1.0\n[[route]]\nname = 'r'\nclass = 'read'\n\
attempt = '500ms'\ntotal = '1900ms'\nattempts = 3\nbackoff = { first = '10ms', most = '40ms' }\nbudget = 'b'\n";
const SCENARIO: &str =
    "length_s = 3.0\nwarm_up_s = 1.0\n[workers]\ncount = 5\n[[fault]]\nkind = 'flush'\nat_s = 1.0\n";
const RECORD: &str = "0.5 read k1\n0.7\n# note\n1.25 read\n";

/// The name of a kind of file, a valid text of it, and its parser, which returns the error message shown to the user.
type FileKind = (&'static str, String, fn(&[u8]) -> Result<(), String>);

fn utf8(bytes: &[u8]) -> Result<&str, String> {
    std::str::from_utf8(bytes).map_err(|e| format!("file: {e}"))
}

fn policy_context() -> PolicyContext {
    let config: serde_json::Value = serde_json::from_str(CONFIG).unwrap();
    serde_json::from_value::<DeploymentSettings>(config["settings"].clone()).unwrap().policy_context()
}

fn write_temp_file(name: &str, bytes: &[u8]) -> PathBuf {
    let owner = format!("{}-{:?}", std::process::id(), std::thread::current().id());
    let path = std::env::temp_dir().join(format!("notchdoor-bad-{owner}-{name}"));
    std::fs::write(&path, bytes).unwrap();
    path
}

fn parse_results(bytes: &[u8]) -> Result<(), String> {
    let path = write_temp_file("result.json", bytes);
    experiment::read(&path).map(drop).map_err(|e| e.replace(&path.display().to_string(), "file"))
}

fn file_kinds() -> Vec<FileKind> {
    let spec = scenario::parse("file", SCENARIO).unwrap();
    let day =
        notchdoor_lab::play(&spec, "s", 1, notchdoor_lab::policy::Kind::parse("notchdoor").unwrap(), false);
    let day = serde_json::to_string(&day).unwrap() + "\n";
    vec![
        ("config", CONFIG.into(), |b| {
            Config::parse(b, |_| None).map(drop).map_err(|e| e.to_string().replace("EDGE_CONFIG", "file"))
        }),
        ("policy", POLICY.into(), |b| {
            let join_errors =
                |p: Vec<limits::PolicyError>| p.iter().map(|p| format!("{p}\n")).collect::<String>();
            limits::parse("file", utf8(b)?, &policy_context()).map(drop).map_err(join_errors)
        }),
        ("scenario", SCENARIO.into(), |b| scenario::parse("file", utf8(b)?).map(drop)),
        ("record", RECORD.into(), |b| Arrivals::record("file", utf8(b)?, &["read".into()]).map(drop)),
        ("results", day, parse_results),
    ]
}

/// Inputs that are not valid for any kind of file.
fn malformed_inputs() -> Vec<Vec<u8>> {
    let deep = |open: &str| open.repeat(50_000).into_bytes();
    vec![
        b"\0".to_vec(),
        b"\xff\xfe{\0}\0".to_vec(),
        b"nan".to_vec(),
        b"[1e999]".to_vec(),
        b"{\"seed\":1e999}".to_vec(),
        b"x = 99999999999999999999999999".to_vec(),
        deep("["),
        deep("{\"a\":"),
        [b"x = ".to_vec(), deep("[")].concat(),
        [b"x = ".to_vec(), deep("{a=")].concat(),
        deep("a."),
        vec![b'x'; 1 << 20],
    ]
}

#[test]
fn garbage_input_returns_an_error_that_starts_with_the_file_name() {
    for (name, good, read) in file_kinds() {
        read(good.as_bytes()).unwrap_or_else(|e| panic!("{name}: {e}"));
        for bytes in malformed_inputs() {
            let start = String::from_utf8_lossy(&bytes[..bytes.len().min(12)]).into_owned();
            let error = read(&bytes).expect_err(&format!("{name} accepted {start:?}"));
            assert!(error.lines().all(|l| l.starts_with("file")), "{name}, {start:?}: {error:.300}");
            assert!(!error.is_empty() && error.len() < 4_000, "{name}, {start:?}: {} bytes", error.len());
        }
    }
}

#[test]
fn truncated_file_parses_or_returns_an_error_that_starts_with_the_file_name() {
    for (name, good, read) in file_kinds() {
        let step = 1 + good.len() / 3_000;
        for length in (0..good.len()).step_by(step) {
            if let Err(error) = read(&good.as_bytes()[..length]) {
                assert!(
                    error.lines().all(|l| l.starts_with("file")) && !error.is_empty(),
                    "{name} at {length}: {error}"
                );
            }
        }
    }
}

#[test]
fn out_of_range_config_value_is_reported_with_its_path() {
    for (from, to, expected) in [
        ("\"maxAttempts\":3", "\"maxAttempts\":0", "settings.limits.maxAttempts: 0 is out of range"),
        ("\"balancers\":1", "\"balancers\":0", "settings.balancers: 0 is out of range"),
        ("\"coldFrom\":0.31", "\"coldFrom\":31", "settings.obligations.coldFrom: 31 is out of range; 0 to 1"),
        ("\"cold\":8100.0", "\"cold\":-1", "settings.obligations.cold: -1 is out of range"),
        ("\"aim\":750.0", "\"aim\":1e300", "settings.grades[0].aim: "),
        ("\"deadline\":2000.0", "\"deadline\":-2000.0", "settings.grades[0].deadline: -2000 is out of range"),
        ("\"points\":2.0", "\"points\":-2", "settings.grades[0].points: -2 is out of range"),
        ("\"memory_mb\":192", "\"memory_mb\":-1", "limits.memory_mb: too little"),
        ("\"sockets\":1024", "\"sockets\":-1", "limits.sockets: invalid value"),
    ] {
        let error = Config::parse(CONFIG.replacen(from, to, 1).as_bytes(), |_| None).err();
        let error = error.unwrap_or_else(|| panic!("{to} was accepted")).to_string();
        assert!(error.starts_with("EDGE_CONFIG: ") && error.contains(expected), "{expected}: {error}");
    }
}

/// A file is not read beyond its size limit.
#[test]
fn bounded_read_rejects_oversized_invalid_and_missing_files() {
    let error = bounded_file::read_bytes(Path::new("/dev/zero"), 1 << 16).unwrap_err().to_string();
    assert_eq!(error, "file exceeds 65536 bytes");
    let path = write_temp_file("bounds", b"1234\xff6");
    assert_eq!(bounded_file::read_bytes(&path, 6).unwrap().len(), 6);
    assert!(bounded_file::read_bytes(&path, 5).is_err());
    assert_eq!(bounded_file::read_text(&path, 6).unwrap_err().to_string(), "invalid UTF-8 at byte 4");
    for path in [std::env::temp_dir(), PathBuf::from("/no/such/file")] {
        assert!(bounded_file::read_text(&path, 6).is_err());
        assert!(experiment::read(&path).is_err());
        let error = scenario::load(&path.display().to_string(), &[]).unwrap_err();
        assert!(error.starts_with(&path.display().to_string()), "{error}");
    }
}
