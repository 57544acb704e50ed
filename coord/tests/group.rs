//! Three members and two clients in virtual time, messages lost, a leader killed and the holder
//! cut off from the group: no two clients may act at once, and the fence sees tokens only grow.

use notchdoor_coord::client::TaskClient;
use notchdoor_coord::fence::Fence;
use notchdoor_coord::holder::Drift;
use notchdoor_coord::lease::Bounds;
use notchdoor_coord::member::{Member, Pace};
use raft::eraftpb::{ConfState, Message};
use raft::storage::MemStorage;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP: u64 = 10;

struct World {
    stores: Vec<MemStorage>,
    members: Vec<Option<Member<MemStorage>>>,
    wire: Vec<(u64, Message)>,
    rng: ChaCha8Rng,
    now: u64,
}

impl World {
    fn new(seed: u64) -> World {
        let stores: Vec<_> = (0..3)
            .map(|_| MemStorage::new_with_conf_state(ConfState::from((vec![1, 2, 3], vec![]))))
            .collect();
        let members =
            stores.iter().enumerate().map(|(i, s)| Some(member(i as u64 + 1, s.clone(), 0))).collect();
        World { stores, members, wire: Vec::new(), rng: ChaCha8Rng::seed_from_u64(seed), now: 0 }
    }

    fn leader(&self) -> Option<usize> {
        self.members.iter().position(|m| m.as_ref().is_some_and(|m| m.leads()))
    }

    fn step(&mut self, loss: f64, answers: &mut Vec<(u64, notchdoor_coord::member::Answer)>) {
        self.now += STEP;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.wire).into_iter().partition(|(at, _)| *at <= self.now);
        self.wire = later;
        for (_, m) in due {
            if let Some(Some(to)) = self.members.get_mut(m.to as usize - 1) {
                to.step(m);
            }
        }
        for slot in self.members.iter_mut() {
            let Some(member) = slot else { continue };
            let out = member.advance(self.now).expect("a round in memory does not fail");
            answers.extend(out.answers);
            for m in out.messages {
                if !self.rng.random_bool(loss) {
                    let delay = self.rng.random_range(1..=30);
                    self.wire.push((self.now + delay, m));
                }
            }
        }
    }
}

fn member(id: u64, store: MemStorage, now: u64) -> Member<MemStorage> {
    Member::new(id, store, Pace::default(), Bounds::default(), now).expect("a valid member")
}

fn play(seed: u64) -> (u64, usize) {
    let mut w = World::new(seed);
    let drift = Drift::default();
    let mut clients: Vec<_> =
        ["a", "b"].iter().map(|h| TaskClient::new("warm", h, 5_000, drift, seed)).collect();
    let mut fence = Fence::new(16);
    let (mut accepted, mut handovers, mut last_holder) = (0u64, 0usize, None);
    let mut pending: Vec<(usize, u64, u64)> = Vec::new();
    let mut quit = None;
    let mut cut = None;
    for _ in 0..4_000 {
        // The leader dies at 8 s and comes back with its store at 12 s; the holder of the
        // moment is cut off from the group from 8 s to 11 s, and goes on acting on its grant.
        if w.now == 8_000 {
            cut = last_holder;
            if let Some(l) = w.leader() {
                w.members[l] = None;
            }
        }
        if w.now == 12_000 {
            for i in 0..3 {
                if w.members[i].is_none() {
                    w.members[i] = Some(member(i as u64 + 1, w.stores[i].clone(), w.now));
                }
            }
        }
        let mut answers = Vec::new();
        w.step(0.05, &mut answers);
        for (req, answer) in answers {
            if let Some(pos) = pending.iter().position(|&(_, r, _)| r == req) {
                let (c, _, own) = pending.remove(pos);
                clients[c].answered(own, &answer, w.now);
            }
        }
        let holding: Vec<usize> = (0..2).filter(|&c| clients[c].token(w.now).is_some()).collect();
        assert!(holding.len() < 2, "seed {seed}: both clients act at {} ms", w.now);
        for &c in &holding {
            let token = clients[c].token(w.now).unwrap();
            fence
                .admit("warm", token)
                .unwrap_or_else(|s| panic!("seed {seed}: token {token} refused, {s:?}"));
            accepted += 1;
            if last_holder != Some(c) {
                handovers += usize::from(last_holder.is_some());
                last_holder = Some(c);
            }
        }
        for c in (0..2).filter(|&c| quit != Some(c)) {
            if let Some(ask) = clients[c].due(w.now) {
                // Each client asks the leader if one is up; the request is lost otherwise. The
                // member numbers requests of both clients in one space.
                let number = ask.req * 2 + c as u64;
                let reach =
                    if cut == Some(c) && (8_000..11_000).contains(&w.now) { None } else { w.leader() };
                match reach {
                    Some(l) => match w.members[l].as_mut().unwrap().ask(number, ask.command) {
                        Some(answer) => clients[c].answered(ask.req, &answer, w.now),
                        None => pending.push((c, number, ask.req)),
                    },
                    None => clients[c].lost(w.now),
                }
            }
        }
        if w.now == 20_000 {
            // The holder stops asking, so that the other must take over once its grant ends.
            quit = last_holder;
        }
    }
    (accepted, handovers)
}

#[test]
fn no_two_holders_act_at_once_through_loss_a_killed_leader_and_a_cut_off_holder() {
    for seed in 1..=8 {
        let (accepted, handovers) = play(seed);
        assert!(accepted > 1_000, "seed {seed}: the task was done only {accepted} times");
        assert!(handovers >= 1, "seed {seed}: the task never changed hands");
    }
}

#[test]
fn a_member_on_disk_compacts_its_log_and_comes_back_with_its_grants() {
    use notchdoor_coord::lease::Command;
    use notchdoor_coord::member::Answer;
    use notchdoor_coord::store::{DiskStore, Found};
    let dir = std::env::temp_dir().join(format!("notchdoor-group-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let file = dir.join("m1.redb");
    let (store, found) = DiskStore::open(&file, 1, Some(&[1])).unwrap();
    assert_eq!(found, Found::Founding);
    let mut m = Member::new(1, store, Pace::default(), Bounds::default(), 0).unwrap();
    let (mut now, mut token, mut answered) = (0, None, 0);
    while answered < 1_200 && now < 1_000_000 {
        now += STEP;
        if m.leads() {
            let ask = Command::Acquire { task: "registry".into(), holder: "p1".into(), ttl_ms: 5_000 };
            assert_eq!(m.ask(now, ask), None);
        }
        for (_, answer) in m.advance(now).unwrap().answers {
            let Answer::Done { outcome: notchdoor_coord::lease::Outcome::Granted { token: t, .. }, .. } =
                answer
            else {
                panic!("{answer:?}")
            };
            assert_eq!(*token.get_or_insert(t), t, "a repeated acquire keeps its token");
            answered += 1;
        }
    }
    assert_eq!(answered, 1_200);
    drop(m);
    let (store, found) = DiskStore::open(&file, 1, None).unwrap();
    assert_eq!(found, Found::Kept);
    assert!(store.entries_kept().unwrap() < 1_000, "the log was not compacted");
    let m = Member::new(1, store, Pace::default(), Bounds::default(), now).unwrap();
    assert_eq!(m.table().grants()["registry"].token, token.unwrap());
    std::fs::remove_dir_all(&dir).unwrap();
}
