//! The memory that a proxy has used.

use super::Proxy;

impl Proxy {
    /// Returns the peak resident memory of the process in KiB.
    pub fn peak_memory_kib(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        line.trim().trim_end_matches(" kB").trim().parse().unwrap()
    }
}
