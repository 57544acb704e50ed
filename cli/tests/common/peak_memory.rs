//! The memory that a proxy has used.

use super::Proxy;

impl Proxy {
    /// Returns the peak resident memory of the process in KiB.
    pub fn peak_memory_kib(&self) -> usize {
        self.status_kib("VmHWM:")
    }

    /// Returns the resident memory of the process in KiB.
    pub fn memory_kib(&self) -> usize {
        self.status_kib("VmRSS:")
    }

    /// Returns the resident memory of the process in KiB, without the pages of files.
    pub fn anonymous_memory_kib(&self) -> usize {
        self.status_kib("RssAnon:")
    }

    fn status_kib(&self, name: &str) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        // A process that has ended and was not waited for has none.
        let Some(line) = status.lines().find_map(|line| line.strip_prefix(name)) else { return 0 };
        line.trim().trim_end_matches(" kB").trim().parse().unwrap()
    }
}
