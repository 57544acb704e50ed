//! `notchdoor lab pairs` on processes: with this program as its own earlier one, which has to hold, and with one that
//! ends at once, which has to be found. The matrix of earlier revisions is built by the command and not played here.

use std::os::unix::fs::PermissionsExt;
use std::process::{Command, Output};

const PROGRAM: &str = env!("CARGO_BIN_EXE_notchdoor");

fn pairs(program: &str) -> (Output, String) {
    let output = Command::new(PROGRAM).args(["lab", "pairs", "--program", program]).output().unwrap();
    let said = String::from_utf8_lossy(&output.stdout).into_owned();
    (output, said)
}

#[test]
fn an_upgrade_with_a_rollback_half_way_holds_with_the_same_program() {
    let (output, said) = pairs(PROGRAM);
    assert!(output.status.success(), "{output:?}");
    let held = |way: &str| said.lines().any(|l| l.contains(way) && l.contains("12 processes replaced"));
    assert!(held("to this one") && held("from this one"), "{said}");
}

#[test]
fn a_program_that_ends_beside_the_other_is_found() {
    let file = std::env::temp_dir().join(format!("notchdoor-ends-{}", std::process::id()));
    std::fs::write(&file, "#!/bin/sh\nexit 3\n").unwrap();
    std::fs::set_permissions(&file, std::fs::Permissions::from_mode(0o755)).unwrap();
    let (output, said) = pairs(file.to_str().unwrap());
    std::fs::remove_file(&file).unwrap();
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    assert!(said.lines().count() == 2 && said.lines().all(|l| l.contains("has ended")), "{said}");
    for line in said.lines() {
        let folder = line.rsplit("the logs are in ").next().unwrap();
        std::fs::remove_dir_all(folder).unwrap();
    }
    let wrong = Command::new(PROGRAM).args(["lab", "pairs", "--with", "../x"]).output().unwrap();
    assert_eq!(wrong.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&wrong.stderr).contains("'../x' is no revision"), "{wrong:?}");
}
