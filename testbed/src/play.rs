//! A day on sockets: the world on a thread, real proxies as processes, the load generator as their clients.

use crate::stand::host::{Seen, Stand};
use crate::stand::list::Update;
use crate::stand::settings::config;
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::future;
use notchdoor_lab::record::Day;
use notchdoor_load::arrivals::Arrivals;
use notchdoor_load::codec::Protocol;
use notchdoor_load::run::{run, GeneratorReport, Options};
use notchdoor_model::faults::FaultKind;
use notchdoor_model::spec::Spec;
use notchdoor_model::time::Time;
use serde::Serialize;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// Faults of the schedule that can be played on sockets so far.
pub const PLAYABLE: &[FaultKind] = &[FaultKind::OriginStop];
/// A proxy that is not ready by then never will be.
const READY: Duration = Duration::from_secs(10);
/// How often memory and descriptors are looked at.
const LOOK: Duration = Duration::from_millis(200);
/// Machines may take so long to be done with what they hold when a day is over.
const WORKED_OFF: Duration = Duration::from_secs(2);
/// The world may be late by so much before its day tells nothing, in microseconds.
const MOST_WORLD_LATE: u64 = 50_000;

/// What the proxies are, and what they may take.
#[derive(Clone, Debug)]
pub struct Proxies {
    /// The program, which is started with `serve`.
    pub program: PathBuf,
    /// Memory that the configuration grants, in MiB.
    pub memory_mb: u32,
    /// Descriptors, which the system holds it to.
    pub sockets: u32,
    /// Where their configurations and logs go while the day lasts, and stay if something went wrong.
    pub folder: PathBuf,
    /// A request is voided if it would be sent so long after it was due, in microseconds.
    pub max_lateness: Time,
    /// No live view.
    pub quiet: bool,
}

/// What one proxy's process took.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Took {
    /// Resident memory at its first look and at its most, in KiB.
    pub first_kb: u64,
    /// See above.
    pub most_kb: u64,
    /// Descriptors at their most.
    pub descriptors: u64,
    /// How it ended, if it did so by itself.
    pub crashed: Option<String>,
}

/// What a day on sockets came to.
#[derive(Clone, Debug)]
pub struct Played {
    /// The day, as the lab has it.
    pub day: Day,
    /// What the generator says of itself.
    pub kept: GeneratorReport,
    /// What the stand-ins have seen.
    pub seen: Seen,
    /// Requests that workers and the origin still held when all had been answered, and time to end.
    pub left: usize,
    /// What each proxy took.
    pub took: Vec<Took>,
    /// What was broken, in words.
    pub broken: Vec<String>,
    /// Why the day tells nothing, if it does not.
    pub void: Option<String>,
}

/// A process that ends with its guard.
struct Process {
    child: Child,
    listen: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Plays a spec's day on sockets.
pub fn play(spec: &Spec, name: &str, seed: u64, proxies: &Proxies) -> Result<Played, String> {
    let unknown: Vec<&str> =
        spec.faults.iter().filter(|f| !PLAYABLE.contains(&f.kind)).map(|f| f.kind.name()).collect();
    if !unknown.is_empty() {
        return Err(format!(
            "{name}: faults that cannot be played on sockets yet: {}; there is origin-stop",
            unknown.join(", ")
        ));
    }
    let told = |e: &dyn std::fmt::Display| format!("{}: {e}", proxies.folder.display());
    std::fs::create_dir_all(&proxies.folder).map_err(|e| told(&e))?;
    let (tells, places) = mpsc::channel();
    let (ends, ended) = async_channel::bounded::<()>(1);
    let (begins, begun) = async_channel::bounded::<()>(1);
    std::thread::scope(|scope| {
        let world = scope.spawn(|| host(spec, seed, &tells, (&begun, &ended)));
        // However this ends, the world's thread has to hear of it.
        let _ends = OnDrop(|| {
            let _ = ends.try_send(());
        });
        let places = places.recv().map_err(|_| "the world did not start".to_owned())??;
        let mut processes = Vec::new();
        for (me, (registry, known)) in places.iter().enumerate() {
            processes.push(start(spec, me as u32, *registry, known, proxies)?);
        }
        let options = Options {
            targets: processes.iter().map(|p| p.listen).collect(),
            protocol: Protocol::Resp,
            arrivals: Arrivals::Scenario,
            connections: 256,
            threads: 1,
            value_bytes: 1024,
            follow_client_behaviour: true,
            max_lateness: proxies.max_lateness,
            quiet: proxies.quiet,
        };
        let _ = begins.try_send(());
        let over = AtomicBool::new(false);
        let (played, took) = std::thread::scope(|scope| {
            let looks = scope.spawn(|| watch(&mut processes, &over));
            let played = run(spec, name, seed, &options);
            over.store(true, Ordering::Relaxed);
            (played, looks.join())
        });
        let ((mut day, kept), took) = (played?, took.map_err(|_| "the watch has panicked".to_owned())?);
        drop(processes);
        let _ = ends.try_send(());
        let (seen, left) = world.join().map_err(|_| "the world has panicked".to_owned())?;
        day.policy = "sockets".to_owned();
        day.faults.clone_from(&spec.faults);
        let broken = broken(&seen, &took);
        let void = if !kept.is_valid() {
            Some(format!("{} of {} requests could not be sent in time", kept.voided, kept.due))
        } else if seen.latest > MOST_WORLD_LATE {
            Some(format!("the world's clock was late by {} ms", seen.latest / 1000))
        } else {
            None
        };
        Ok(Played { day, kept, seen, left, took, broken, void })
    })
}

/// Does something when it is dropped.
struct OnDrop<F: FnMut()>(F);

impl<F: FnMut()> Drop for OnDrop<F> {
    fn drop(&mut self) {
        (self.0)();
    }
}

fn broken(seen: &Seen, took: &[Took]) -> Vec<String> {
    let mut broken = Vec::new();
    if seen.ran_again > 0 {
        broken.push(format!("{} at-most-once requests were carried out again (rule 2)", seen.ran_again));
    }
    if seen.falls > 0 {
        broken.push(format!("{} cold workers were pushed over (rule 4)", seen.falls));
    }
    if seen.syntax > 0 {
        broken.push(format!("{} commands came in a form that no client sent", seen.syntax));
    }
    for (me, took) in took.iter().enumerate() {
        broken.extend(took.crashed.as_ref().map(|how| format!("proxy {me} ended by itself: {how}")));
    }
    broken
}

type Places = Vec<(SocketAddr, Update)>;

/// The world's thread: from its start until `ended`, with its faults from `begun` on.
fn host(
    spec: &Spec,
    seed: u64,
    tells: &mpsc::Sender<Result<Places, String>>,
    (begun, ended): (&async_channel::Receiver<()>, &async_channel::Receiver<()>),
) -> (Seen, usize) {
    let executor = Rc::new(LocalExecutor::new());
    let stand = match Stand::start(&executor, spec, seed) {
        Ok(stand) => stand,
        Err(e) => {
            let _ = tells.send(Err(format!("the world cannot listen: {e}")));
            return (Seen::default(), 0);
        }
    };
    let places: Places =
        (0..spec.proxies).filter_map(|p| Some((stand.registry(p)?, stand.known(p)))).collect();
    let _ = tells.send(Ok(places));
    let day = async {
        let _ = begun.recv().await;
        let began = Instant::now();
        let at = |s: f64| Timer::at(began + Duration::from_secs_f64(s.max(0.0)));
        // As in virtual time: while memories fill, the origin is wide.
        stand.widen(notchdoor_lab::world::WIDE);
        at(spec.warm_up_s * notchdoor_lab::world::WIDE_FOR).await;
        stand.widen(1.0);
        let mut faults = spec.faults.clone();
        faults.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        for fault in &faults {
            at(spec.warm_up_s + fault.at_s).await;
            if fault.kind == FaultKind::OriginStop {
                stand.stop_origin(Duration::from_secs_f64(fault.length_s));
            }
        }
        future::pending::<()>().await;
    };
    future::block_on(executor.run(future::or(day, async {
        let _ = ended.recv().await;
        // What nobody waits for any more is worked off all the same.
        let until = Instant::now() + WORKED_OFF;
        while stand.held() > 0 && Instant::now() < until {
            Timer::after(Duration::from_millis(10)).await;
        }
    })));
    (stand.seen(), stand.held())
}

/// Starts one proxy and waits until it is ready.
fn start(
    spec: &Spec,
    me: u32,
    registry: SocketAddr,
    known: &Update,
    proxies: &Proxies,
) -> Result<Process, String> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    // An address of this process's own, and a port below those that the system hands out.
    let [.., a, b] = std::process::id().to_be_bytes();
    let port = 10_000 + NEXT.fetch_add(1, Ordering::Relaxed) % 20_000;
    let listen = SocketAddr::from(([127, 78, a, b.clamp(1, 254)], port as u16));
    let file = proxies.folder.join(format!("proxy-{me}.json"));
    let log = proxies.folder.join(format!("proxy-{me}.log"));
    let told = |path: &Path, e: std::io::Error| format!("{}: {e}", path.display());
    let text = config(spec, me, listen, registry, known, (proxies.memory_mb, proxies.sockets)).to_string();
    std::fs::write(&file, text).map_err(|e| told(&file, e))?;
    let to = std::fs::File::create(&log).map_err(|e| told(&log, e))?;
    // The shell sets the limit and becomes the proxy.
    let child = Command::new("sh")
        .args(["-c", "ulimit -n \"$1\" && exec \"$0\" serve"])
        .arg(&proxies.program)
        .arg(proxies.sockets.to_string())
        .env("EDGE_CONFIG", &file)
        .env_remove("EDGE_LISTEN")
        .env_remove("EDGE_DISCOVERY")
        .env_remove("EDGE_NAME")
        .stdin(Stdio::null())
        .stderr(to)
        .spawn()
        .map_err(|e| told(&proxies.program, e))?;
    let mut process = Process { child, listen };
    let until = Instant::now() + READY;
    while !ready(listen) {
        let gone = process.child.try_wait().ok().flatten();
        if gone.is_some() || Instant::now() > until {
            let how = gone.map_or("is not ready".to_owned(), |status| format!("ended: {status}"));
            let said = std::fs::read_to_string(&log).unwrap_or_default();
            let last = said.lines().last().unwrap_or("nothing").to_owned();
            return Err(format!("proxy {me} {how}; its log ({}) ends with: {last}", log.display()));
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    Ok(process)
}

fn ready(listen: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(listen) else { return false };
    let mut answer = [0; 7];
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let asked = stream.write_all(b"*1\r\n$4\r\nPING\r\n").and_then(|()| stream.read_exact(&mut answer));
    asked.is_ok() && &answer == b"+PONG\r\n"
}

/// Looks at the processes until it is `over`.
fn watch(processes: &mut [Process], over: &AtomicBool) -> Vec<Took> {
    let mut took = vec![Took::default(); processes.len()];
    while !over.load(Ordering::Relaxed) {
        for (process, took) in processes.iter_mut().zip(&mut took) {
            if took.crashed.is_some() {
                continue;
            }
            if let Ok(Some(status)) = process.child.try_wait() {
                took.crashed = Some(status.to_string());
                continue;
            }
            let folder = PathBuf::from(format!("/proc/{}", process.child.id()));
            let status = std::fs::read_to_string(folder.join("status")).unwrap_or_default();
            let resident = status
                .lines()
                .find_map(|l| l.strip_prefix("VmRSS:")?.split_whitespace().next()?.parse().ok());
            let resident: u64 = resident.unwrap_or(0);
            if took.first_kb == 0 {
                took.first_kb = resident;
            }
            took.most_kb = took.most_kb.max(resident);
            let open = std::fs::read_dir(folder.join("fd")).map_or(0, |entries| entries.count() as u64);
            took.descriptors = took.descriptors.max(open);
        }
        std::thread::sleep(LOOK);
    }
    took
}
