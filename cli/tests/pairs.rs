//! `notchdoor lab pairs` with this program as both revisions, which must pass, and with a program that exits immediately,
//! which must be reported. Earlier revisions are not built here.

use std::os::unix::fs::PermissionsExt;
use std::process::{Command, Output};

const PROGRAM: &str = env!("CARGO_BIN_EXE_notchdoor");

fn run_pairs(program: &str) -> (Output, String) {
    let output = Command::new(PROGRAM).args(["lab", "pairs", "--program", program]).output().unwrap();
    let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
    (output, stdout)
}

#[test]
fn upgrade_and_rollback_pass_with_the_same_program() {
    let (output, stdout) = run_pairs(PROGRAM);
    assert!(output.status.success(), "{output:?}");
    let passed = |direction: &str| {
        stdout.lines().any(|l| l.contains(direction) && l.contains("12 processes replaced"))
    };
    assert!(passed("to this one") && passed("from this one"), "{stdout}");
}

#[test]
fn program_that_exits_during_the_upgrade_is_reported() {
    let file = std::env::temp_dir().join(format!("notchdoor-ends-{}", std::process::id()));
    std::fs::write(&file, "#!/bin/sh\nexit 3\n").unwrap();
    std::fs::set_permissions(&file, std::fs::Permissions::from_mode(0o755)).unwrap();
    let (output, stdout) = run_pairs(file.to_str().unwrap());
    std::fs::remove_file(&file).unwrap();
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    assert!(stdout.lines().count() == 2 && stdout.lines().all(|l| l.contains("has ended")), "{stdout}");
    for line in stdout.lines() {
        let folder = line.rsplit("the logs are in ").next().unwrap();
        std::fs::remove_dir_all(folder).unwrap();
    }
    let invalid = Command::new(PROGRAM).args(["lab", "pairs", "--with", "../x"]).output().unwrap();
    assert_eq!(invalid.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&invalid.stderr).contains("'../x' is no revision"), "{invalid:?}");
}
