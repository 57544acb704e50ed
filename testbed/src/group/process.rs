//! A process of the program under test: started, killed, paused, resumed, started again.

use rustix::process::{kill_process, prlimit, Pid, Resource, Rlimit, Signal};
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Makes the disk full for a process, or gives it room again: no file of its own may grow by a byte, or be written. One
/// that does not ignore `SIGXFSZ` ends at its next write.
pub fn full_disk(pid: u32, full: bool) -> io::Result<()> {
    let pid = i32::try_from(pid).ok().and_then(Pid::from_raw).ok_or(io::ErrorKind::InvalidInput)?;
    let room = full.then_some(0);
    // The hard limit stays, or the room could not be given back.
    let hard = prlimit(Some(pid), Resource::Fsize, Rlimit { current: room, maximum: None })?.maximum;
    debug_assert_eq!(hard, None);
    Ok(())
}

/// How to start the process of a program, each time anew.
pub type Starter = Box<dyn Fn(&Path) -> Command + Send>;

/// A process and the file that its log goes to. It is killed when this is dropped.
pub struct Process {
    program: PathBuf,
    start: Starter,
    log: PathBuf,
    child: Option<Child>,
    paused: bool,
}

impl Process {
    /// One that is not started yet; its log goes on over all starts.
    pub fn new(name: &str, folder: &Path, program: &Path, start: Starter) -> Process {
        let log = folder.join(format!("{name}.log"));
        Process { program: program.to_owned(), start, log, child: None, paused: false }
    }

    /// Takes another program from its next start on.
    pub fn swap(&mut self, program: &Path) {
        program.clone_into(&mut self.program);
    }

    /// Starts it, if it does not run.
    pub fn start(&mut self) -> io::Result<()> {
        if self.runs() {
            return Ok(());
        }
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = (self.start)(&self.program);
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn()?;
        (self.child, self.paused) = (Some(child), false);
        Ok(())
    }

    /// Whether it runs, paused or not.
    pub fn runs(&mut self) -> bool {
        self.child.as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    /// Whether it runs and is paused.
    pub fn is_paused(&self) -> bool {
        self.paused
    }

    /// Its number, while it runs.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        match &self.child {
            Some(child) => Ok(kill_process(Pid::from_child(child), signal)?),
            None => Ok(()),
        }
    }

    /// Kills it at once: it has no chance to say or write anything.
    pub fn kill(&mut self) -> io::Result<()> {
        let Some(mut child) = self.child.take() else { return Ok(()) };
        child.kill()?;
        child.wait().map(drop)
    }

    /// Stops its clockwork where it is.
    pub fn pause(&mut self) -> io::Result<()> {
        self.paused = true;
        self.signal(Signal::STOP)?;
        self.pid().map_or(Ok(()), wait_until_stopped)
    }

    /// Lets it go on.
    pub fn resume(&mut self) -> io::Result<()> {
        self.paused = false;
        self.signal(Signal::CONT)
    }

    /// Asks it to stop in order, and waits.
    pub fn stop(&mut self, limit: Duration) -> io::Result<Option<ExitStatus>> {
        self.signal(Signal::TERM)?;
        self.wait(limit)
    }

    /// Waits for its end; `None` if it does not end in time.
    pub fn wait(&mut self, limit: Duration) -> io::Result<Option<ExitStatus>> {
        let until = Instant::now() + limit;
        while let Some(child) = &mut self.child {
            if let Some(status) = child.try_wait()? {
                self.child = None;
                return Ok(Some(status));
            }
            if Instant::now() >= until {
                return Ok(None);
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(None)
    }

    /// Bytes that it has resident, as the system counts them.
    pub fn resident(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid()?)).ok()?;
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
        line.trim().trim_end_matches(" kB").parse::<u64>().ok().map(|kb| kb * 1024)
    }

    /// All that it has logged, over all its starts.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// The lines of its log that have this event, as JSON.
    pub fn events(&self, event: &str) -> Vec<serde_json::Value> {
        let lines = self.log();
        let json = lines.lines().filter_map(|l| serde_json::from_str::<serde_json::Value>(l).ok());
        json.filter(|v| v["event"] == event).collect()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.kill();
    }
}

/// How long a process may take to stop after SIGSTOP.
const STOP_LIMIT: Duration = Duration::from_secs(5);

/// Waits until every thread of a process has stopped: on a busy machine, threads go on for a while after the signal.
fn wait_until_stopped(pid: u32) -> io::Result<()> {
    let deadline = Instant::now() + STOP_LIMIT;
    while !threads_are_stopped(pid)? {
        if Instant::now() >= deadline {
            return Err(io::Error::new(io::ErrorKind::TimedOut, format!("process {pid} does not stop")));
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    Ok(())
}

/// Whether every thread of a process is in the state `T`, or the process has ended.
fn threads_are_stopped(pid: u32) -> io::Result<bool> {
    for thread in std::fs::read_dir(format!("/proc/{pid}/task"))? {
        // A thread may have ended since the folder was read.
        let Ok(stat) = std::fs::read_to_string(thread?.path().join("stat")) else { continue };
        let state = stat.rsplit(')').next().and_then(|fields| fields.trim_start().chars().next());
        if !matches!(state, Some('T' | 'Z' | 'X')) {
            return Ok(false);
        }
    }
    Ok(true)
}
