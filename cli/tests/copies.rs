//! Replication and the negative cache of known-missing keys as processes: three members of a group and four proxies, each
//! on a machine of its own, with one cache that keeps nothing and one origin, and faults between them.

mod common;

use common::{bulk, line, Client, Peer, Proxy, Registry};
use notchdoor_coordination::protocol::{Answer, Request};
use notchdoor_coordination::session::Endpoint;
use notchdoor_coordination::shard_map::ShardMap;
use notchdoor_proxy::wire::resp::Value;
use notchdoor_replication::shard_of;
use notchdoor_testbed::group::fleet::{address, Fleet, Plan};
use notchdoor_testbed::group::links::{Flow, Link, Links, Way};
use notchdoor_testbed::group::process::full_disk;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(20);
const PROGRAM: &str = env!("CARGO_BIN_EXE_notchdoor");
const SHARDS: u32 = 8;
/// Fleets at once: more of them would be slow for each other, and who is slow is taken to be gone.
static SLOTS: [Mutex<()>; 3] = [const { Mutex::new(()) }; 3];

/// A fleet whose proxies hold replicas for each other.
struct ReplicatedFleet {
    group: Fleet,
    registry: Registry,
    proxies: Vec<Option<Proxy>>,
    /// The link by which other nodes reach each.
    peers: Vec<Link>,
    /// Each proxy's links to the members.
    doors: Vec<Vec<Link>>,
    _links: Links,
    _slot: MutexGuard<'static, ()>,
    origin: Peer,
    ids: u64,
}

/// An origin that has what was written, and answers 404 for the rest.
fn origin() -> Peer {
    let has: Arc<Mutex<HashSet<String>>> = Arc::default();
    Peer::origin(Box::new(move |request| {
        let mut has = has.lock().unwrap();
        if request[0] == "PUT" {
            has.insert(request[1].clone());
        }
        if has.contains(&request[1]) {
            return common::http("200 OK", &request[2]);
        }
        common::http("404 Not Found", "")
    }))
}

impl ReplicatedFleet {
    fn start(name: &str) -> ReplicatedFleet {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let slot = &SLOTS[NEXT.fetch_add(1, Ordering::Relaxed) % SLOTS.len()];
        let slot = slot.lock().unwrap_or_else(PoisonError::into_inner);
        let folder =
            std::env::temp_dir().join(format!("notchdoor-replication-{name}-{}", std::process::id()));
        let plan = Plan { proxies: 0, within_ms: Some(2_000), ..Plan::new(PROGRAM, folder) };
        let group = Fleet::start(plan).unwrap();
        let cache = Peer::worker(Box::new(|_| Some(b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n".to_vec())));
        let (registry, origin) = (Registry::start(), origin());
        let list = [line("w", &cache, "in_service", 0), line("o", &origin, "in_service", 0)];
        let links = Links::start();
        let mut fleet = ReplicatedFleet {
            group,
            registry,
            proxies: Vec::new(),
            peers: Vec::new(),
            doors: Vec::new(),
            _links: links,
            _slot: slot,
            origin,
            ids: 0,
        };
        for n in 0..4 {
            let (listen, links) = (address(), &fleet._links);
            let peer = links.link(listen).unwrap();
            let (at, members) = (peer.address(), fleet.group.operators());
            let doors: Vec<Link> = members.iter().map(|(_, at)| links.link(*at).unwrap()).collect();
            let member = |((id, _), door): (&Endpoint, &Link)| {
                format!("[[member]]\nid = {id}\nclient = \"{}\"\n", door.address())
            };
            let members: String = members.iter().zip(&doors).map(member).collect();
            let text = format!(
                "{members}[versions]\nwithin_ms = 2000\n\n[copies]\nmachine = \"m{n}\"\nzone = \"z{}\"\nlisten = \"{listen}\"\npeer = \"{at}\"\ndata = {:?}\nshards = {SHARDS}\n",
                n % 2,
                fleet.disk(n),
            );
            fleet.peers.push(peer);
            fleet.doors.push(doors);
            let files = [("coord.toml", text.as_str()), (common::MAY_FILL, "")];
            fleet.proxies.push(Some(Proxy::with_files(&fleet.registry, &list, (1024, 192), &files)));
        }
        fleet.wait_until_in_sync();
        fleet
    }

    /// Waits until all shards have a primary and three replicas in sync.
    fn wait_until_in_sync(&mut self) {
        self.wait_until("every shard has three copies in sync", |_, t| {
            !t.shards().is_empty() && t.shards().iter().all(|s| s.in_sync.len() == 3 && s.primary.is_some())
        });
    }

    /// Writes keys through a proxy until one has its receipt, and gives the time that it took.
    fn set_in_time(&mut self, n: usize, key: &str) -> Duration {
        let began = Instant::now();
        while !self.set(n, key) {
            assert!(began.elapsed() < PATIENCE, "no write of {key} has a receipt");
        }
        began.elapsed()
    }

    fn disk(&self, n: usize) -> PathBuf {
        self.group.folder().join(format!("c{n}"))
    }

    fn table(&self) -> ShardMap {
        match self.group.ask(&Request::Table { node: None, have: 0 }, PATIENCE).unwrap() {
            Answer::Table(word) => *word.table.unwrap(),
            other => panic!("{other:?}"),
        }
    }

    fn wait_until(&mut self, what: &str, mut so: impl FnMut(&mut ReplicatedFleet, &ShardMap) -> bool) {
        let until = Instant::now() + PATIENCE;
        loop {
            let table = self.table();
            if so(self, &table) {
                return;
            }
            assert!(Instant::now() < until, "{what}: {table:?}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    fn proxy_at(&self, peer: SocketAddr) -> Option<usize> {
        self.peers.iter().position(|link| link.address() == peer)
    }

    /// The proxy that is primary for a key's shard.
    fn primary(&self, key: &str) -> Option<usize> {
        let table = self.table();
        let id = table.shards()[shard_of(key.as_bytes(), SHARDS) as usize].primary?;
        self.proxy_at(table.nodes()[&id].at.peer)
    }

    fn client(&self, n: usize) -> Client {
        self.proxies[n].as_ref().unwrap().client()
    }

    /// Reads a key through a proxy until it is not refused.
    fn get(&mut self, n: usize, key: &str) -> Value {
        let until = Instant::now() + PATIENCE;
        loop {
            self.ids += 1;
            let value = self.client(n).get(key, &format!("id{}", self.ids), 2_000);
            if !common::busy(&value) || Instant::now() > until {
                return value;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Writes a key through a proxy; whether it has a receipt.
    fn set(&mut self, n: usize, key: &str) -> bool {
        self.ids += 1;
        let id = format!("id{}", self.ids);
        let info = format!("c=fix,t=acme,d=2000,k={id}");
        self.client(n).ask(&["OBJ.SET", key, &id, &info, "v"]) == bulk(&id)
    }

    /// Lookups of a key at the origin.
    fn lookups(&self, key: &str) -> usize {
        let path = format!("/{key}");
        self.origin.seen().iter().filter(|r| r[0] == "GET" && r[1] == path).count()
    }

    /// Reads a key that is not there until the origin is asked for it no more.
    fn wait_until_known_missing(&mut self, n: usize, key: &str) {
        let until = Instant::now() + PATIENCE;
        loop {
            let before = self.lookups(key);
            assert_eq!(self.get(n, key), Value::Bulk(None));
            if self.lookups(key) == before {
                return;
            }
            assert!(Instant::now() < until, "{key} is never known to be missing");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Kills a proxy's machine and empties its disk.
    fn lose_machine(&mut self, n: usize) {
        drop(self.proxies[n].take());
        std::fs::remove_dir_all(self.disk(n)).unwrap();
    }

    fn others(&self, not: usize) -> Vec<usize> {
        (0..4).filter(|n| *n != not && self.proxies[*n].is_some()).collect()
    }
}

const MISSING: Value = Value::Bulk(None);

#[test]
fn what_is_known_to_be_missing_and_what_was_written_outlive_the_primarys_machine() {
    let mut fleet = ReplicatedFleet::start("machine");
    // One lookup tells all proxies.
    assert_eq!(fleet.get(0, "ghost"), MISSING);
    fleet.wait_until_known_missing(1, "ghost");
    let asked = fleet.lookups("ghost");
    assert!(asked <= 2, "{asked} lookups, one of them before the entry was kept");
    for n in 0..4 {
        assert_eq!(fleet.get(n, "ghost"), MISSING);
    }
    assert_eq!(fleet.lookups("ghost"), asked);
    // A write at a third proxy makes every proxy fetch it again.
    assert!(fleet.set(2, "ghost"), "the write has its receipt");
    for n in 0..4 {
        let value = fleet.get(n, "ghost");
        assert!(matches!(&value, Value::Bulk(Some(_))), "proxy {n}: {value:?}");
    }
    // The machine of the shard's primary is lost with its disk. What was written is never missing again; what is known
    // to be missing stays known.
    fleet.wait_until_known_missing(0, "ghoul");
    let lost = fleet.primary("ghoul").unwrap();
    fleet.lose_machine(lost);
    let others = fleet.others(lost);
    let end = Instant::now() + Duration::from_millis(2_500);
    while Instant::now() < end {
        for &n in &others {
            let value = fleet.get(n, "ghost");
            assert!(matches!(&value, Value::Bulk(Some(_))), "proxy {n}: {value:?}");
        }
    }
    fleet.wait_until("all shards have a primary on another machine", |f, t| {
        t.shards().iter().all(|s| s.primary.is_some_and(|p| t.nodes()[&p].at.peer != f.peers[lost].address()))
    });
    // The new primary has to bring its replicas to its state first; from then on no lookup is made.
    fleet.wait_until_known_missing(others[0], "ghoul");
    let asked = fleet.lookups("ghoul");
    for &n in &others {
        assert_eq!(fleet.get(n, "ghoul"), MISSING);
    }
    assert_eq!(fleet.lookups("ghoul"), asked);
    assert!(fleet.set(others[1], "ghoul"));
    for &n in &others {
        assert_ne!(fleet.get(n, "ghoul"), MISSING);
    }
    fleet.wait_until_in_sync();
    // What operators are told.
    let at: Vec<String> = fleet.group.operators().iter().map(|(_, at)| at.to_string()).collect();
    let ask =
        |line: &[&str]| Command::new(PROGRAM).args(line).args(["--at", &at.join(",")]).output().unwrap();
    let told = |out: &[u8]| String::from_utf8_lossy(out).into_owned();
    let status = ask(&["copies", "status"]);
    assert!(status.status.success(), "{status:?}");
    assert!(told(&status.stdout).contains(&format!("{SHARDS} shards, 0 without a primary")), "{status:?}");
    let given_up = ask(&["copies", "give-up", "0"]);
    assert!(told(&given_up.stderr).contains("shard 0 has an in-sync replica that is up"), "{given_up:?}");
    assert!(told(&ask(&["copies", "show", "99"]).stderr)
        .contains("shard 99 does not exist: there are 8 shards, numbered from 0"));
}

#[test]
fn a_primary_that_was_paused_past_its_confirmation_does_not_say_missing_when_it_goes_on() {
    let mut fleet = ReplicatedFleet::start("paused");
    fleet.wait_until_known_missing(0, "ghost");
    let paused = fleet.primary("ghost").unwrap();
    fleet.proxies[paused].as_ref().unwrap().signal("STOP");
    let others = fleet.others(paused);
    fleet.wait_until("another is primary", |f, _| f.primary("ghost").is_some_and(|p| p != paused));
    let until = Instant::now() + PATIENCE;
    while !fleet.set(others[0], "ghost") {
        assert!(Instant::now() < until, "no write has a receipt");
    }
    fleet.proxies[paused].as_ref().unwrap().signal("CONT");
    // From its first answer on, and however often it is asked.
    for round in 0..40 {
        let value = fleet.get(paused, "ghost");
        assert_ne!(value, MISSING, "round {round}");
        std::thread::sleep(Duration::from_millis(10));
    }
    // It was taken to be gone, and comes again as another start of the same disk.
    fleet.proxies[paused].as_ref().unwrap().logged("it comes again");
    fleet.wait_until_in_sync();
}

#[test]
fn all_killed_at_once_and_started_again_lose_nothing() {
    let mut fleet = ReplicatedFleet::start("all");
    assert!(fleet.set(0, "there"));
    fleet.wait_until_known_missing(1, "ghost");
    let killed: Vec<Proxy> = fleet.proxies.iter_mut().filter_map(Option::take).collect();
    for mut proxy in killed {
        proxy.child.kill().unwrap();
        proxy.child.wait().unwrap();
        let again = proxy.beside(&fleet.registry);
        fleet.proxies.retain(Option::is_some);
        fleet.proxies.push(Some(again));
    }
    fleet.wait_until("every shard has a primary", |_, t| t.shards().iter().all(|s| s.primary.is_some()));
    let asked = fleet.lookups("ghost");
    fleet.wait_until_known_missing(0, "ghost");
    // Until its shard served again the origin was asked as ever; the entry itself was on the disks.
    assert!(fleet.lookups("ghost") <= asked + 4, "{} lookups more", fleet.lookups("ghost") - asked);
    for n in 0..4 {
        assert_ne!(fleet.get(n, "there"), MISSING);
        assert_eq!(fleet.get(n, "ghost"), MISSING);
    }
}

#[test]
fn the_group_is_asked_for_configuration_and_never_for_writes() {
    let mut fleet = ReplicatedFleet::start("flat");
    let leader = fleet.group.leader(None, PATIENCE).unwrap();
    let told = |f: &ReplicatedFleet| {
        let status = f.group.status(leader).unwrap();
        (status.applied, f.table().version(), status.term)
    };
    let (before, writes) = (told(&fleet), 60);
    for n in 0..writes {
        assert!(fleet.set(n % 4, &format!("k{n}")), "write {n}");
    }
    let after = told(&fleet);
    // On a busy machine a replica may be gone on without, or a leader elected: entries of those own changes.
    let (entries, changes) = (after.0 - before.0, after.1 - before.1 + after.2 - before.2);
    assert!(
        entries <= 2 + 3 * changes && entries < writes as u64 / 2,
        "{entries} entries of the group's log for {writes} kept writes and {changes} changes"
    );
}

#[test]
fn a_primary_cut_from_the_group_alone_answers_nothing_from_its_copies_and_comes_again() {
    let mut fleet = ReplicatedFleet::start("group");
    fleet.wait_until_known_missing(0, "ghost");
    let cut = fleet.primary("ghost").unwrap();
    // Its clients and the other nodes reach it all the same.
    fleet.doors[cut].iter().for_each(|door| door.set_both(Flow::Held));
    let others = fleet.others(cut);
    fleet.wait_until("another is primary", |f, _| f.primary("ghost").is_some_and(|p| p != cut));
    fleet.set_in_time(others[0], "ghost");
    for round in 0..20 {
        let value = fleet.get(cut, "ghost");
        assert!(matches!(&value, Value::Bulk(Some(_))), "round {round}: {value:?}");
    }
    fleet.doors[cut].iter().for_each(|door| door.set_both(Flow::Open));
    fleet.wait_until_in_sync();
    for n in 0..4 {
        assert_ne!(fleet.get(n, "ghost"), MISSING);
    }
}

#[test]
fn a_replica_that_hears_nothing_or_late_holds_nobody_up_for_long_and_comes_whole_again() {
    let mut fleet = ReplicatedFleet::start("replica");
    let key = "written";
    let backup = {
        let table = fleet.table();
        let shard = &table.shards()[shard_of(key.as_bytes(), SHARDS) as usize];
        let other = shard.in_sync.iter().find(|id| shard.primary != Some(**id)).unwrap();
        fleet.proxy_at(table.nodes()[other].at.peer).unwrap()
    };
    let writer = fleet.primary(key).unwrap();
    fleet.set_in_time(writer, key);
    // Half a cut: what others say to it stays in the link, what it says itself is heard.
    fleet.peers[backup].set(Way::There, Flow::Held);
    let took = fleet.set_in_time(writer, key);
    // It is gone on without after a second of silence, and a new epoch is begun then.
    assert!(took < Duration::from_secs(5), "a write took {took:?}");
    let gone = fleet.peers[backup].address();
    fleet.wait_until("it is out of sync", |_, t| {
        let shard = &t.shards()[shard_of(key.as_bytes(), SHARDS) as usize];
        !shard.in_sync.iter().any(|id| t.nodes()[id].at.peer == gone)
    });
    // All that was fleet comes at once, late and of another epoch, and changes nothing.
    fleet.peers[backup].set(Way::There, Flow::Open);
    fleet.wait_until_in_sync();
    // Every frame late, and connections reset in between: writes are slow, and none is lost.
    fleet.peers.iter().for_each(|link| link.set_both(Flow::Delayed(60)));
    for n in 0..12 {
        fleet.set_in_time(n % 4, &format!("late-{n}"));
        fleet.peers[n % 4].reset();
    }
    fleet.peers.iter().for_each(|link| link.set_both(Flow::Open));
    fleet.wait_until_in_sync();
    for n in 0..12 {
        assert_ne!(fleet.get((n + 1) % 4, &format!("late-{n}")), MISSING, "late-{n}");
    }
}

#[test]
fn without_a_quorum_of_the_group_nothing_is_promised_and_nothing_is_lost() {
    let mut fleet = ReplicatedFleet::start("quorum");
    fleet.wait_until_known_missing(0, "ghost");
    assert!(fleet.set(1, "there"));
    let ids: Vec<u64> = fleet.group.members.keys().copied().take(2).collect();
    for id in &ids {
        fleet.group.members.get_mut(id).unwrap().pause().unwrap();
    }
    // Longer than any word of the group is good: from here on no receipt, and reads ask the origin as ever.
    std::thread::sleep(Duration::from_millis(1_500));
    assert!(!fleet.set(2, "ghost"), "a receipt without a confirmed shard");
    for n in 0..4 {
        assert_ne!(fleet.get(n, "there"), MISSING);
    }
    for id in &ids {
        fleet.group.members.get_mut(id).unwrap().resume().unwrap();
    }
    fleet.set_in_time(2, "ghost");
    fleet.wait_until_in_sync();
    for n in 0..4 {
        assert_ne!(fleet.get(n, "ghost"), MISSING, "proxy {n}");
    }
}

#[test]
fn a_machine_whose_disk_was_changed_comes_as_another_and_the_rest_has_what_was_promised() {
    let mut fleet = ReplicatedFleet::start("damaged");
    fleet.wait_until_known_missing(0, "ghost");
    fleet.set_in_time(1, "there");
    let hit = fleet.primary("ghost").unwrap();
    let mut proxy = fleet.proxies[hit].take().unwrap();
    proxy.child.kill().unwrap();
    proxy.child.wait().unwrap();
    let file = fleet.disk(hit).join("copies.redb");
    let mut bytes = std::fs::read(&file).unwrap();
    let places: Vec<usize> = (0..bytes.len() - 5).filter(|n| &bytes[*n..*n + 5] == b"ghost").collect();
    assert!(!places.is_empty(), "the entry is on the disk of its shard's primary");
    places.iter().for_each(|n| bytes[*n] = b'G');
    std::fs::write(&file, bytes).unwrap();
    let again = proxy.beside(&fleet.registry);
    again.logged("the store is damaged, it is put aside");
    fleet.proxies[hit] = Some(again);
    fleet.wait_until_in_sync();
    // Once its shards serve again what is known is known, and what was written is there.
    fleet.wait_until_known_missing(0, "ghost");
    let asked = fleet.lookups("ghost");
    for n in 0..4 {
        assert_eq!(fleet.get(n, "ghost"), MISSING, "proxy {n}");
        assert_ne!(fleet.get(n, "there"), MISSING, "proxy {n}");
    }
    assert_eq!(fleet.lookups("ghost"), asked);
}

#[test]
fn a_full_disk_takes_a_node_out_and_its_shards_go_on_elsewhere() {
    let mut fleet = ReplicatedFleet::start("full");
    fleet.wait_until_known_missing(0, "ghost");
    let full = fleet.primary("ghost").unwrap();
    let pid = fleet.proxies[full].as_ref().unwrap().child.id();
    full_disk(pid, true).unwrap();
    // Whatever it is replica of needs its disk: it says so, promises nothing more and is replaced.
    let others = fleet.others(full);
    let took = fleet.set_in_time(others[0], "ghost");
    assert!(took < Duration::from_secs(10), "a write took {took:?}");
    fleet.proxies[full].as_ref().unwrap().logged("the disk failed, this node promises nothing more");
    let gone = fleet.peers[full].address();
    fleet.wait_until("every shard has a primary on another disk", |_, t| {
        t.shards().iter().all(|s| s.primary.is_some_and(|p| t.nodes()[&p].at.peer != gone))
    });
    for n in 0..4 {
        assert_ne!(fleet.get(n, "ghost"), MISSING, "proxy {n}");
    }
    for n in 0..8 {
        fleet.set_in_time(n % 4, &format!("after-{n}"));
    }
    // With room again and a start it is a replica as before.
    let mut proxy = fleet.proxies[full].take().unwrap();
    proxy.child.kill().unwrap();
    proxy.child.wait().unwrap();
    fleet.proxies[full] = Some(proxy.beside(&fleet.registry));
    fleet.wait_until_in_sync();
    for n in 0..8 {
        assert_ne!(fleet.get((n + 1) % 4, &format!("after-{n}")), MISSING, "after-{n}");
    }
}

#[test]
fn a_disk_that_is_full_for_two_seconds_is_a_replicas_again_without_a_restart() {
    let mut fleet = ReplicatedFleet::start("short");
    fleet.wait_until_known_missing(0, "ghost");
    let full = fleet.primary("ghost").unwrap();
    let pid = fleet.proxies[full].as_ref().unwrap().child.id();
    full_disk(pid, true).unwrap();
    let began = Instant::now();
    let others = fleet.others(full);
    fleet.set_in_time(others[0], "ghost");
    // Its own clients are served meanwhile, by the copies of others.
    fleet.set_in_time(full, "meanwhile");
    assert!(matches!(&fleet.get(full, "ghost"), Value::Bulk(Some(_))));
    fleet.proxies[full].as_ref().unwrap().logged("the disk failed, this node promises nothing more");
    std::thread::sleep(Duration::from_secs(2).saturating_sub(began.elapsed()));
    full_disk(pid, false).unwrap();
    fleet.proxies[full].as_ref().unwrap().logged("the store is well again");
    fleet.wait_until_in_sync();
    // It holds replicas as before: with another machine gone, the three that are left need it for each shard.
    let lost = fleet.primary("ghost").unwrap();
    assert_ne!(lost, full, "all shards have three other machines");
    fleet.lose_machine(lost);
    let node = fleet.peers[full].address();
    fleet.wait_until("it is in sync everywhere", |_, t| {
        let holds = |id: &u64| t.nodes()[id].at.peer == node;
        t.shards().iter().all(|s| s.primary.is_some() && s.in_sync.iter().any(holds))
    });
    fleet.set_in_time(full, "afterwards");
    for n in fleet.others(lost) {
        assert_ne!(fleet.get(n, "ghost"), MISSING, "proxy {n}");
        assert_ne!(fleet.get(n, "afterwards"), MISSING, "proxy {n}");
        assert_ne!(fleet.get(n, "meanwhile"), MISSING, "proxy {n}");
    }
}

#[test]
fn a_node_that_cannot_begin_anew_on_its_full_disk_still_finds_the_others_for_its_clients() {
    let mut fleet = ReplicatedFleet::start("cannot");
    fleet.set_in_time(0, "ghost");
    let full = fleet.primary("ghost").unwrap();
    let proxy = fleet.proxies[full].as_ref().unwrap();
    // Paused for longer than its confirmation holds: it has to come again as another start, which its disk refuses.
    full_disk(proxy.child.id(), true).unwrap();
    proxy.signal("STOP");
    fleet.wait_until("another is primary", |f, _| f.primary("ghost").is_some_and(|p| p != full));
    fleet.proxies[full].as_ref().unwrap().signal("CONT");
    fleet.proxies[full].as_ref().unwrap().logged("it comes again");
    // Primaries move once more, and its clients find them.
    let moved = fleet.primary("ghost").unwrap();
    fleet.lose_machine(moved);
    fleet
        .wait_until("a third is primary", |f, _| f.primary("ghost").is_some_and(|p| p != full && p != moved));
    fleet.set_in_time(full, "ghost");
    fleet.wait_until_known_missing(full, "ghoul");
}
