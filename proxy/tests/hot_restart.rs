//! The hot-restart file as released versions wrote it: it is read by every later one.

use notchdoor_proxy::state::hot_restart::{Change, HotRestart};
use std::path::PathBuf;

/// Written by a process of release 0.1.0: one backend taken out, another taken out and put back.
const STORED: &str = include_str!("data/hot_restart.state");
/// The name under which that process kept it: of the proxy, its address and its deployment.
const STORED_AS: &str = "notchdoor-n0_127_0_0_1_16379-3bfef9c3ba7e48d9.state";
const DEPLOYMENT: u64 = 0x3bfe_f9c3_ba7e_48d9;

/// A folder of this test's own, gone with it.
struct Folder(PathBuf);

impl Folder {
    fn with_stored_file(test: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("notchdoor-stored-{}-{test}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        std::fs::write(path.join(STORED_AS), STORED).unwrap();
        Folder(path)
    }

    fn join(&self) -> HotRestart {
        let (joined, problem) = HotRestart::join(&self.0, "n0", "127.0.0.1:16379", DEPLOYMENT).unwrap();
        assert!(problem.is_none(), "{problem:?}");
        joined
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn a_stored_file_of_an_earlier_release_is_read_with_all_that_it_holds() {
    let folder = Folder::with_stored_file("read");
    let state = folder.join().state;
    assert_eq!(state.serial, 3);
    assert_eq!(state.drained, ["s-5be2a07c"]);
    let put_back: Vec<_> = state.put_back.iter().map(|b| (b.backend.as_str(), b.at.0)).collect();
    assert_eq!(put_back, [("s-77aa01", 1_796_207_995_622_644)]);
}

#[test]
fn a_change_keeps_the_keys_and_the_name_of_the_stored_file() {
    let folder = Folder::with_stored_file("kept");
    let mut joined = folder.join();
    let Ok(Change::Pending(change)) = joined.change(|state| assert!(state.drain("w9"))) else {
        panic!("nothing to be written");
    };
    change.write().unwrap();
    let written = std::fs::read_to_string(folder.0.join(STORED_AS)).unwrap();
    let expected =
        STORED.replace("\"serial\":3", "\"serial\":4").replace("\"s-5be2a07c\"]", "\"s-5be2a07c\",\"w9\"]");
    assert_eq!(written, expected);
}

#[test]
fn a_change_that_the_disk_does_not_take_is_said_to_fail_and_leaves_the_stored_file() {
    // A write to the one is refused as on a full disk; the other takes bytes and cannot sync them.
    for failing in ["/dev/full", "/dev/null"] {
        let folder = Folder::with_stored_file(&failing[5..]);
        let mut joined = folder.join();
        let new = folder.0.join(STORED_AS).with_extension("new");
        std::os::unix::fs::symlink(failing, &new).unwrap();
        let Ok(Change::Pending(change)) = joined.change(|state| assert!(state.drain("w9"))) else {
            panic!("nothing to be written");
        };
        let problem = change.write().expect_err("it says that it kept the change").to_string();
        assert!(problem.contains(".new: "), "{problem}");
        assert_eq!(std::fs::read_to_string(folder.0.join(STORED_AS)).unwrap(), STORED, "{failing}");
        assert!(!joined.state.is_drained("w9"), "it is heeded though it was said to fail");
        // Well again: the next change is kept.
        let Ok(Change::Pending(change)) = joined.change(|state| assert!(state.drain("w9"))) else {
            panic!("nothing to be written");
        };
        assert!(change.write().unwrap().is_drained("w9"));
        assert!(folder.join().state.is_drained("w9"));
    }
}

#[test]
fn a_process_killed_at_any_byte_of_a_change_leaves_the_stored_file() {
    let folder = Folder::with_stored_file("killed");
    let written = STORED.replace("\"serial\":3", "\"serial\":4").into_bytes();
    for end in 0..=written.len() {
        std::fs::write(folder.0.join(STORED_AS).with_extension("new"), &written[..end]).unwrap();
        assert_eq!(folder.join().state.serial, 3, "killed after {end} bytes");
    }
}
