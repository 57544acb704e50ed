//! The proxies' side of a day: events in, actions out, each judged before it takes effect.

use super::world::{ghost, Next, View};
use super::{Attempt, Day};
use crate::rules::{NotifiedList, Ran, Rule, Sent};
use notchdoor::{Action, Endpoint, Event, Outcome, ServerState};
use notchdoor_model::backend::State;
use notchdoor_model::clients::AttemptResult;
use notchdoor_model::discovery::{Delivery, EndpointEntry, EndpointUpdate, ListedState, ServerId};
use notchdoor_model::network::Connection;
use notchdoor_model::time::{ms, secs, Time};
use rand::RngExt;

fn member(line: &EndpointEntry) -> Endpoint {
    Endpoint {
        server: line.server,
        kind: line.kind,
        zone: line.zone,
        cell: line.cell,
        size: line.size,
        started_at: line.started,
        state: match line.state {
            ListedState::Serving => ServerState::Serving,
            ListedState::Draining => ServerState::Draining,
            ListedState::Gone => ServerState::Gone,
        },
    }
}

/// A number that stands for an event in the digest.
fn event_tag(event: &Event<'_>) -> (u8, u64, u64) {
    match event {
        Event::EndpointList(members) => (10, members.len() as u64, 0),
        Event::EndpointUpdate(members) => (11, members.len() as u64, 0),
        Event::DiscoveryError => (12, 0, 0),
        Event::Arrived(request) => (13, request.id, request.key.unwrap_or(0)),
        Event::ReplyStarted { id, attempt, .. } => (14, *id, u64::from(*attempt)),
        Event::AttemptEnded { id, attempt, outcome, .. } => {
            (15, *id, u64::from(*attempt) << 8 | (*outcome as u64))
        }
        Event::Answered { id, attempt } => (20, *id, u64::from(*attempt)),
        Event::ClientLeft(id) => (16, *id, 0),
        Event::Timer(token) => (17, *token, 0),
        Event::HedgeGranted(id) => (18, *id, 0),
        Event::AnswerNow(id) => (19, *id, 0),
        Event::ReplyInterrupted { id, attempt, .. } => (20, *id, u64::from(*attempt)),
        Event::ReplyBegun { id, attempt, .. } => (60, *id, u64::from(*attempt)),
        Event::ReplyStalled { id, attempt, .. } => (61, *id, u64::from(*attempt)),
    }
}

impl Day<'_> {
    /// Hands a proxy one event, and carries out what it wants done.
    pub(super) fn feed(&mut self, proxy: u32, event: Event<'_>) {
        let (tag, a, b) = event_tag(&event);
        self.digest(tag, &[u64::from(proxy), a, b]);
        if self.tracing {
            self.note_event(proxy, &event);
        }
        let mut actions = std::mem::take(&mut self.actions);
        let p = &mut self.proxies[proxy as usize];
        let view = View { world: &self.world, now: self.now, zone: p.zone };
        p.policy.handle(self.now, event, &view, &mut actions);
        for action in actions.drain(..) {
            self.act(proxy, action);
        }
        self.actions = actions;
        self.check_counts(proxy);
    }

    fn note_event(&mut self, proxy: u32, event: &Event<'_>) {
        let (request, what) = match event {
            Event::EndpointList(m) => (None, format!("told a whole list of {} lines", m.len())),
            Event::EndpointUpdate(m) => {
                let lines: Vec<String> = m.iter().map(|m| format!("{} {:?}", m.server, m.state)).collect();
                (None, format!("told of {}", lines.join(", ")))
            }
            Event::DiscoveryError => (None, "its call to the registry failed, or its watch ended".to_owned()),
            Event::Arrived(r) => (Some(r.id), format!("takes it, key {}", r.key.unwrap_or(0))),
            Event::Answered { id, attempt } => (Some(*id), format!("answered by attempt {attempt}")),
            Event::AttemptEnded { id, attempt, outcome, .. } => {
                (Some(*id), format!("attempt {attempt} ended: {outcome:?}"))
            }
            Event::ClientLeft(id) => (Some(*id), "its client left".to_owned()),
            // Timers say little, and there are many.
            Event::ReplyStarted { .. }
            | Event::ReplyBegun { .. }
            | Event::ReplyStalled { .. }
            | Event::ReplyInterrupted { .. }
            | Event::Timer(_)
            | Event::HedgeGranted(_)
            | Event::AnswerNow(_) => return,
        };
        self.note(Some(proxy), request, None, || what);
    }

    fn check_counts(&mut self, proxy: u32) {
        let p = &self.proxies[proxy as usize];
        let Some(load) = p.policy.load() else { return };
        if load.held != p.held || load.out != p.out {
            let what = format!(
                "proxy {proxy} counts {} requests held and {} attempts out; there are {} and {}",
                load.held, load.out, p.held, p.out
            );
            self.breach(Rule::Counts, Some(proxy), None, None, what);
        }
    }

    fn act(&mut self, proxy: u32, action: Action) {
        match action {
            Action::Send { id, server, give_up_at, .. } => self.send(proxy, id, server, give_up_at),
            Action::Cancel { id, attempt } => self.cancel(proxy, id, attempt),
            Action::Reject { id, retry_after } => {
                self.digest(22, &[u64::from(proxy), id, retry_after]);
                self.note(Some(proxy), Some(id), None, || {
                    format!("refuses it, come back in {retry_after} us")
                });
                if self.take_answer(proxy, id) {
                    let t = &self.tries[&id];
                    let class = self.orders[&t.order].want.class;
                    let finding = self.verifier.may_refuse(Some(class), &t.attempts);
                    self.judge(finding, Some(proxy), Some(id), None);
                    self.record.at(self.now).counts.refused += 1;
                    self.answer(id, AttemptResult::Rejected(retry_after));
                }
            }
            Action::Fail { id } => {
                self.digest(23, &[u64::from(proxy), id]);
                self.note(Some(proxy), Some(id), None, || "fails it".to_owned());
                if self.take_answer(proxy, id) {
                    self.record.at(self.now).counts.failed += 1;
                    self.answer(id, AttemptResult::Failed);
                }
            }
            Action::Timer { after, token } => {
                self.digest(24, &[u64::from(proxy), after, token]);
                let process = self.proxies[proxy as usize].process;
                // Never in the batch that asked for it.
                let at = self.at_proxy(self.now + after.max(1));
                self.agenda.put(at, Next::Timer(proxy, process, token));
            }
            Action::Watch => {
                self.digest(25, &[u64::from(proxy)]);
                self.proxies[proxy as usize].asked_at = self.now;
                let mut told = std::mem::take(&mut self.told);
                self.registry.watch(self.now, proxy, &mut told);
                self.put_tellings(told);
            }
        }
    }

    /// A proxy gives a final answer. False if there is nothing to answer.
    fn take_answer(&mut self, proxy: u32, id: u64) -> bool {
        let open = self.tries.get(&id).is_some_and(|t| t.open && t.proxy == proxy);
        if !open {
            let what = "answered though it was over, or never taken".to_owned();
            self.breach(Rule::OneAnswer, Some(proxy), Some(id), None, what);
            return false;
        }
        self.close(id);
        true
    }

    fn send(&mut self, proxy: u32, id: u64, server: ServerId, give_up_at: Time) {
        self.digest(20, &[u64::from(proxy), id, u64::from(server), give_up_at]);
        self.note(Some(proxy), Some(id), Some(server), || "sends it".to_owned());
        if !self.tries.get(&id).is_some_and(|t| t.open && t.proxy == proxy) {
            let what = "sent though it was over, or never taken".to_owned();
            return self.breach(Rule::OneAnswer, Some(proxy), Some(id), Some(server), what);
        }
        let t = &self.tries[&id];
        let (order, due, n) = (t.order, t.due, t.attempts.len() as u32);
        let want = &self.orders[&order].want;
        let (class, write, work, fetch_work) = (want.class, want.write, want.work, want.fetch_work);
        let p = &self.proxies[proxy as usize];
        let (zone, process) = (p.zone, p.process);
        let finding = self.verifier.may_send(self.now, Some(class), &t.attempts, server, &p.told);
        if !self.judge(finding, Some(proxy), Some(id), Some(server)) && self.kind.must_keep_rules() {
            return;
        }
        let moot = n >= self.spec.rules.max_attempts || self.now >= due;
        let give_up_at = if give_up_at == 0 { due } else { give_up_at.min(due) };
        let origin = server == super::world::ORIGIN;
        let machine = self.world.address.get(&server).copied();
        let attempt = self.id();
        let t = self.tries.get_mut(&id).expect("looked up above");
        let repeats = t.attempts.iter().any(|a| (a.server == super::world::ORIGIN) == origin);
        let fetch_of_cold = origin && !write && t.cold_miss;
        if fetch_of_cold {
            // Counted once for each request.
            t.cold_miss = false;
        }
        t.attempts.push(Sent { server, at: self.now, ran: Ran::Out });
        t.numbers.push(attempt);
        t.out += 1;
        let p = &mut self.proxies[proxy as usize];
        p.out += 1;
        self.orders.get_mut(&order).expect("an open try has its order").refs += 1;
        let crosses = zone != self.world.zone(machine.filter(|_| !origin));
        let counts = &mut self.record.at(self.now).counts;
        counts.repeats += u64::from(repeats);
        counts.crossings += u64::from(crosses && !moot);
        if origin {
            counts.fetches += 1;
        } else {
            counts.reads += 1;
        }
        self.attempts.insert(
            attempt,
            Attempt {
                request: id,
                order,
                n,
                proxy,
                process,
                zone,
                server,
                machine,
                machine_process: machine.map_or(0, |m| self.world.machines[m as usize].process),
                sent: self.now,
                fresh: false,
                handshake: 0.0,
                ended: false,
                placed: false,
                settled: false,
                written_at: self.now,
                landed: false,
                work: if origin { fetch_work * self.world.fetch_work } else { work },
                blamed: fetch_of_cold,
                made: 0,
            },
        );
        if moot {
            return self.never_sent(attempt, Outcome::NotSent, 0);
        }
        if origin {
            self.dial_origin(attempt, give_up_at);
        } else if let Some(machine) = machine {
            self.dial(attempt, machine, give_up_at);
        } else {
            // A machine long gone: connections to it never come up.
            let after = ms(self.spec.backends.connect_timeout_ms).min(give_up_at.saturating_sub(self.now));
            self.never_sent(attempt, Outcome::ConnectFailed, after);
        }
    }

    /// An attempt that does not reach its server, as its proxy finds after a while.
    fn never_sent(&mut self, attempt: u64, outcome: Outcome, after: Time) {
        if let Some(a) = self.attempts.get_mut(&attempt) {
            a.settled = true;
        }
        // Not within the batch that sent it.
        let at = self.at_proxy(self.now + after.max(1));
        self.agenda.put(at, Next::Back(attempt, outcome));
    }

    fn dial_origin(&mut self, attempt: u64, give_up_at: Time) {
        let zone = self.attempts[&attempt].zone;
        let timeout = ms(self.spec.backends.connect_timeout_ms).min(give_up_at - self.now);
        if !self.world.reaches(self.now, zone, None) {
            return self.never_sent(attempt, Outcome::ConnectFailed, timeout);
        }
        let delay = self.world.delay(zone, None);
        if self.world.origin.is_down(self.now) {
            return self.never_sent(attempt, Outcome::ConnectFailed, 2 * delay);
        }
        self.agenda.put(self.now + delay, Next::Land(attempt));
        self.agenda.put(self.at_proxy(give_up_at), Next::GiveUp(attempt));
    }

    fn dial(&mut self, attempt: u64, machine: u32, give_up_at: Time) {
        let (proxy, zone) = (self.attempts[&attempt].proxy, self.attempts[&attempt].zone);
        let timeout = ms(self.spec.backends.connect_timeout_ms).min(give_up_at - self.now);
        let usual = self.world.network.base_delay(zone, self.world.zone(Some(machine)));
        if self.world.machines[machine as usize].worker.state() == State::Down
            && !self.world.silence.is_silent(machine, self.now)
        {
            return self.never_sent(attempt, Outcome::ConnectFailed, 2 * usual);
        }
        let (how, closed) = self.world.connections.acquire(self.now, proxy, machine);
        for _ in 0..closed {
            self.world.machines[machine as usize].worker.connect(false);
        }
        let reaches = self.world.reaches(self.now, zone, Some(machine));
        let mut extra = 0;
        if how == Connection::New {
            self.record.at(self.now).counts.opened += 1;
            if !reaches || !self.world.machines[machine as usize].worker.connect(true) {
                self.world.connections.release(self.now, proxy, machine, true);
                let after = if reaches { 2 * usual } else { timeout };
                return self.never_sent(attempt, Outcome::ConnectFailed, after);
            }
            extra = (2.0 * usual as f64 * self.spec.backends.handshake_trips) as Time;
        }
        let a = self.attempts.get_mut(&attempt).expect("sent just now");
        a.placed = true;
        if how == Connection::New {
            a.fresh = true;
            a.written_at = self.now + extra;
            a.handshake = self.spec.backends.handshake_ms * 1e3;
        }
        if reaches {
            let delay = self.world.delay(zone, Some(machine));
            self.agenda.put(self.now + extra + delay, Next::Land(attempt));
        } else {
            // Lost on the way.
            a.settled = true;
        }
        self.agenda.put(self.at_proxy(give_up_at), Next::GiveUp(attempt));
    }

    fn cancel(&mut self, proxy: u32, id: u64, n: u32) {
        self.digest(21, &[u64::from(proxy), id, u64::from(n)]);
        self.note(Some(proxy), Some(id), None, || format!("cancels attempt {n}"));
        let number = self.tries.get(&id).and_then(|t| t.numbers.get(n as usize)).copied();
        if let Some(attempt) = number.filter(|a| self.attempts.get(a).is_some_and(|a| !a.ended)) {
            self.agenda.put(self.now, Next::Back(attempt, Outcome::Cancelled));
        }
    }

    /// A proxy stops waiting for an attempt.
    pub(super) fn give_up(&mut self, attempt: u64) {
        let Some(a) = self.attempts.get(&attempt).filter(|a| !a.ended) else { return };
        // What was not written, because its connection was not up in time, never ran.
        let outcome = if self.now < a.written_at { Outcome::ConnectFailed } else { Outcome::Timeout };
        self.end_attempt(attempt, outcome);
    }

    /// An attempt's end reaches its proxy.
    pub(super) fn back(&mut self, attempt: u64, outcome: Outcome) {
        let Some(a) = self.attempts.get(&attempt) else { return };
        if a.ended {
            // A late answer to what the proxy waits for no more.
            return self.drop_attempt(attempt);
        }
        self.end_attempt(attempt, outcome);
    }

    fn end_attempt(&mut self, attempt: u64, outcome: Outcome) {
        let a = self.attempts.get_mut(&attempt).expect("its callers have looked it up");
        a.ended = true;
        // What was not written yet will never be.
        a.settled |= self.now < a.written_at;
        let (id, n, proxy, machine, made) = (a.request, a.n, a.proxy, a.machine, a.made);
        let (placed, fresh, sent, settled) = (a.placed, a.fresh, a.sent, a.settled);
        debug_assert!(self.runs(proxy, self.attempts[&attempt].process), "a dead process waits for nothing");
        if placed {
            // A connection is given up with what was not answered on it.
            let closed = !matches!(outcome, Outcome::Ok | Outcome::Miss | Outcome::Rejected | Outcome::Error);
            let machine = machine.expect("only workers have places");
            self.world.connections.release(self.now, proxy, machine, closed);
            if closed {
                self.world.machines[machine as usize].worker.connect(false);
            }
        }
        if !settled && !matches!(outcome, Outcome::Ok) {
            let zone = self.attempts[&attempt].zone;
            let delay = self.world.delay(zone, machine);
            self.agenda.put(self.now + delay, Next::Unwanted(attempt));
        }
        let counts = &mut self.record.at(self.now).counts;
        match outcome {
            Outcome::Miss => counts.misses += 1,
            Outcome::Rejected => counts.full += 1,
            Outcome::Timeout | Outcome::Reset | Outcome::ConnectFailed => counts.broken += 1,
            _ => {}
        }
        let t = self.tries.get_mut(&id).expect("a try stays while attempts are out");
        t.attempts[n as usize].ran = Ran::of(outcome);
        let served = outcome == Outcome::Ok && t.open;
        if outcome == Outcome::Miss {
            if let (Some(machine), Some(slot)) = (machine, t.missed.iter_mut().find(|m| m.is_none())) {
                *slot = Some(machine);
            }
            self.note_cold_miss(id, machine);
        }
        if served {
            self.store(id, made);
            self.close(id);
            self.answer(id, AttemptResult::Answered);
            self.feed(proxy, Event::Answered { id, attempt: n });
        }
        self.proxies[proxy as usize].out -= 1;
        let t = self.tries.get_mut(&id).expect("a try stays while attempts are out");
        t.out -= 1;
        if !t.open && t.out == 0 {
            self.proxies[proxy as usize].held -= 1;
        }
        let took = (!fresh).then_some(self.now - sent);
        self.feed(proxy, Event::AttemptEnded { id, attempt: n, outcome, took });
        self.drop_attempt(attempt);
        self.drop_try(id);
    }

    /// A miss at a worker that is cold, by a proxy that has been told of its start.
    fn note_cold_miss(&mut self, id: u64, machine: Option<u32>) {
        let Some(m) = machine.map(|m| &self.world.machines[m as usize]) else { return };
        let t = self.tries.get_mut(&id).expect("its attempt has just ended");
        let told = &self.proxies[t.proxy as usize].told;
        let started = m.worker.started_at();
        if started > 0
            && self.now < started + secs(self.spec.rules.warmup_s)
            && told.knows_start(m.server, started)
        {
            t.cold_miss = true;
        }
    }

    /// The origin has answered a read: the workers that missed for it, the first two, keep the value.
    fn store(&mut self, id: u64, made: Time) {
        let t = &self.tries[&id];
        let want = &self.orders[&t.order].want;
        if want.write {
            return;
        }
        for machine in t.missed.into_iter().flatten() {
            if !self.world.silence.is_silent(machine, self.now) {
                self.world.machines[machine as usize].worker.store(want.key, made, want.size);
            }
        }
    }

    /// Forgets an attempt that neither its proxy nor its server has anything to do with any more.
    pub(super) fn drop_attempt(&mut self, attempt: u64) {
        if let Some(a) = self.attempts.get(&attempt).filter(|a| a.ended && a.settled) {
            let order = a.order;
            self.attempts.remove(&attempt);
            self.release(order);
        }
    }

    // ---- The list ----

    pub(super) fn put_tellings(&mut self, mut told: Vec<Delivery>) {
        for telling in told.drain(..) {
            let at = self.at_proxy(telling.at);
            self.next_telling += 1;
            self.tellings.insert(self.next_telling, telling);
            self.agenda.put(at, Next::Tell(self.next_telling));
        }
        self.told = told;
        self.schedule_registry();
    }

    pub(super) fn schedule_registry(&mut self) {
        if let Some(at) =
            self.registry.wake_at().map(|at| at.max(self.now)).filter(|at| *at < self.registry_wake)
        {
            self.registry_wake = at;
            self.agenda.put(at, Next::WakeRegistry);
        }
    }

    pub(super) fn tell(&mut self, n: u64) {
        let Some(telling) = self.tellings.remove(&n) else { return };
        let proxy = telling.proxy;
        if !self.proxies[proxy as usize].up {
            return;
        }
        match telling.update {
            EndpointUpdate::FullList(lines) => self.tell_list(proxy, &lines, true),
            EndpointUpdate::Changes(lines) => self.tell_list(proxy, &lines, false),
            EndpointUpdate::Error => self.feed(proxy, Event::DiscoveryError),
        }
    }

    /// A proxy is told lines of the list.
    pub(super) fn tell_list(&mut self, proxy: u32, lines: &[EndpointEntry], whole: bool) {
        self.proxies[proxy as usize].told.told(self.now, lines, whole);
        let members: Vec<Endpoint> = lines.iter().map(member).collect();
        let event = if whole { Event::EndpointList(&members) } else { Event::EndpointUpdate(&members) };
        self.feed(proxy, event);
    }

    /// A proxy that neither watches nor asks for as long as it may is taken to have been told the list.
    pub(super) fn deem_told(&mut self) {
        let most = secs(self.spec.discovery.poll_interval_s);
        for p in 0..self.proxies.len() {
            if self.registry.is_watching(p as u32) {
                self.proxies[p].asked_at = self.now;
            } else if self.proxies[p].up && self.now > self.proxies[p].asked_at + most {
                let list = self.registry.list();
                self.proxies[p].told.told(self.now, &list, true);
            }
        }
    }

    // ---- Processes ----

    /// A proxy's process ends at once: all that it had is gone.
    pub(super) fn kill_proxy(&mut self, proxy: u32) {
        if !self.proxies[proxy as usize].up {
            return;
        }
        self.note(Some(proxy), None, None, || "its process ends".to_owned());
        self.digest(30, &[u64::from(proxy)]);
        let p = &mut self.proxies[proxy as usize];
        p.up = false;
        p.process += 1;
        (p.held, p.out) = (0, 0);
        let mut open: Vec<u64> = p.open.drain().collect();
        open.sort_unstable();
        self.front.set_down_since(proxy, Some(self.now));
        self.registry.remove_proxy(proxy);
        for (machine, lost) in self.world.connections.close_proxy(proxy) {
            for _ in 0..lost {
                self.world.machines[machine as usize].worker.connect(false);
            }
        }
        let mut out: Vec<u64> =
            self.attempts.iter().filter(|(_, a)| a.proxy == proxy && !a.ended).map(|(id, _)| *id).collect();
        out.sort_unstable();
        for attempt in out {
            let a = self.attempts.get_mut(&attempt).expect("listed above");
            a.ended = true;
            a.placed = false;
            let (id, zone, machine, settled) = (a.request, a.zone, a.machine, a.settled);
            if !settled {
                let delay = self.world.delay(zone, machine);
                self.agenda.put(self.now + delay, Next::Unwanted(attempt));
            }
            if let Some(t) = self.tries.get_mut(&id) {
                t.out = 0;
            }
            self.drop_attempt(attempt);
            if !open.contains(&id) {
                self.drop_try(id);
            }
        }
        for id in open {
            if let Some(t) = self.tries.get_mut(&id) {
                t.open = false;
                // The connection breaks under the client: the request may have run.
                self.answer(id, AttemptResult::Failed);
            }
            self.drop_try(id);
        }
    }

    /// A proxy's process starts, with the list as given as what it held last.
    pub(super) fn start_proxy(&mut self, proxy: u32, list: &[EndpointEntry]) {
        // Guards against two faults that took the same proxy, and both bring it back.
        if self.proxies[proxy as usize].up {
            return;
        }
        let seed = self.module_rng.random();
        self.note(Some(proxy), None, None, || "starts".to_owned());
        self.digest(31, &[u64::from(proxy)]);
        let policy = self.kind.start(&self.settings, self.limits.first(), seed, self.now);
        let p = &mut self.proxies[proxy as usize];
        p.up = true;
        p.process += 1;
        p.policy = policy;
        p.told = NotifiedList::default();
        p.asked_at = self.now;
        self.front.set_down_since(proxy, None);
        self.tell_list(proxy, list, true);
    }

    /// A list as it might have been long ago: part of the fleet, and machines that are gone.
    pub(super) fn stale_list(&mut self, part: f64) -> Vec<EndpointEntry> {
        let mut lines = Vec::new();
        for (i, line) in self.world.lines().into_iter().enumerate() {
            let known = line.kind == super::world::ORIGIN_KIND || self.fault_rng.random::<f64>() < part;
            let server = if known { line.server } else { ghost(i as u32) };
            lines.push(EndpointEntry { server, started: 0, ..line });
        }
        lines
    }
}
