//! Compatibility with hot-restart state files written by earlier releases, and robustness of changes to them.

use notchdoor_proxy::state::hot_restart::{Change, HotRestart};
use std::path::PathBuf;

/// A state file written by release 0.1.0, with one drained backend and one drained and put back in service.
const STORED_STATE: &str = include_str!("data/hot_restart.state");
/// The file's name, derived from the proxy's name, its address and the deployment.
const STORED_FILE_NAME: &str = "notchdoor-n0_127_0_0_1_16379-3bfef9c3ba7e48d9.state";
const DEPLOYMENT: u64 = 0x3bfe_f9c3_ba7e_48d9;

/// A temporary directory with the stored state file, removed on drop.
struct TempStateDir(PathBuf);

impl TempStateDir {
    fn with_stored_file(test: &str) -> TempStateDir {
        let path = std::env::temp_dir().join(format!("notchdoor-stored-{}-{test}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        std::fs::write(path.join(STORED_FILE_NAME), STORED_STATE).unwrap();
        TempStateDir(path)
    }

    fn join(&self) -> HotRestart {
        let (joined, problem) = HotRestart::join(&self.0, "n0", "127.0.0.1:16379", DEPLOYMENT).unwrap();
        assert!(problem.is_none(), "{problem:?}");
        joined
    }
}

impl Drop for TempStateDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn state_file_of_an_earlier_release_is_read_completely() {
    let dir = TempStateDir::with_stored_file("read");
    let state = dir.join().state;
    assert_eq!(state.serial, 3);
    assert_eq!(state.drained, ["s-5be2a07c"]);
    let put_back: Vec<_> = state.put_back.iter().map(|b| (b.backend.as_str(), b.at.0)).collect();
    assert_eq!(put_back, [("s-77aa01", 1_796_207_995_622_644)]);
}

#[test]
fn change_preserves_the_keys_and_name_of_the_state_file() {
    let dir = TempStateDir::with_stored_file("kept");
    let mut joined = dir.join();
    let Ok(Change::Pending(change)) = joined.change(|state| assert!(state.drain("w9"))) else {
        panic!("nothing to be written");
    };
    change.write().unwrap();
    let written = std::fs::read_to_string(dir.0.join(STORED_FILE_NAME)).unwrap();
    let expected = STORED_STATE
        .replace("\"serial\":3", "\"serial\":4")
        .replace("\"s-5be2a07c\"]", "\"s-5be2a07c\",\"w9\"]");
    assert_eq!(written, expected);
}

#[test]
fn failed_disk_write_returns_an_error_and_leaves_the_state_file_unchanged() {
    // Writes to /dev/full fail as on a full disk; /dev/null accepts writes but cannot be synced.
    for failing in ["/dev/full", "/dev/null"] {
        let dir = TempStateDir::with_stored_file(&failing[5..]);
        let mut joined = dir.join();
        let new_path = dir.0.join(STORED_FILE_NAME).with_extension("new");
        std::os::unix::fs::symlink(failing, &new_path).unwrap();
        let Ok(Change::Pending(change)) = joined.change(|state| assert!(state.drain("w9"))) else {
            panic!("nothing to be written");
        };
        let problem = change.write().expect_err("the change is reported as stored").to_string();
        assert!(problem.contains(".new: "), "{problem}");
        assert_eq!(std::fs::read_to_string(dir.0.join(STORED_FILE_NAME)).unwrap(), STORED_STATE, "{failing}");
        assert!(!joined.state.is_drained("w9"), "the failed change is in effect");
        // The next change succeeds.
        let Ok(Change::Pending(change)) = joined.change(|state| assert!(state.drain("w9"))) else {
            panic!("nothing to be written");
        };
        assert!(change.write().unwrap().is_drained("w9"));
        assert!(dir.join().state.is_drained("w9"));
    }
}

#[test]
fn partial_new_file_of_any_length_leaves_the_state_file_unchanged() {
    let dir = TempStateDir::with_stored_file("killed");
    let written = STORED_STATE.replace("\"serial\":3", "\"serial\":4").into_bytes();
    for end in 0..=written.len() {
        std::fs::write(dir.0.join(STORED_FILE_NAME).with_extension("new"), &written[..end]).unwrap();
        assert_eq!(dir.join().state.serial, 3, "killed after {end} bytes");
    }
}
