//! The servers' side of a day: what lands, what is worked off, what falls over.

use super::world::{slow_start_allowance, Next};
use super::Day;
use crate::rules::Rule;
use notchdoor::Outcome;
use notchdoor_model::backend::{Admission, State};
use notchdoor_model::discovery::{EndpointEntry, ListedState};
use notchdoor_model::origin;
use notchdoor_model::slow_start::SlowStartMeter;
use notchdoor_model::spec::Effect;
use notchdoor_model::time::Time;

/// A worker takes so long to say that it lacks a key, or has no room, in microseconds.
const QUICK: Time = 200;

impl Day<'_> {
    /// An attempt's last byte reaches its server.
    pub(super) fn land(&mut self, attempt: u64) {
        let Some(a) = self.attempts.get_mut(&attempt).filter(|a| !a.settled) else { return };
        a.landed = true;
        let (zone, machine) = (a.zone, a.machine);
        if !self.world.reaches(self.now, zone, machine) {
            return self.server_done(attempt);
        }
        match machine {
            Some(machine) => self.land_at_worker(attempt, machine),
            None => self.land_at_origin(attempt),
        }
    }

    /// The server has nothing more to do with an attempt.
    fn server_done(&mut self, attempt: u64) {
        if let Some(a) = self.attempts.get_mut(&attempt) {
            a.settled = true;
        }
        self.drop_attempt(attempt);
    }

    /// The server answers an attempt; lost if the network does not carry it.
    fn reply(&mut self, attempt: u64, outcome: Outcome, after: Time) {
        let Some(a) = self.attempts.get_mut(&attempt) else { return };
        a.settled = true;
        let (zone, machine, ended, work) = (a.zone, a.machine, a.ended, a.work);
        if ended && outcome == Outcome::Ok && machine.is_some() {
            self.record.wasted(self.now, work);
        }
        if !ended && self.world.reaches(self.now, zone, machine) {
            let delay = self.world.delay(zone, machine);
            let at = self.at_proxy(self.now + after + delay);
            self.agenda.put(at, Next::Back(attempt, outcome));
        } else {
            self.drop_attempt(attempt);
        }
    }

    fn land_at_worker(&mut self, attempt: u64, machine: u32) {
        self.advance_machine(machine);
        let m = &self.world.machines[machine as usize];
        let a = &self.attempts[&attempt];
        // The process that this connection belonged to is gone.
        if m.worker.state() == State::Down || m.process != a.machine_process {
            return self.reply(attempt, Outcome::Reset, 0);
        }
        let want = &self.orders[&a.order].want;
        let (key, write, work, proxy) = (want.key, want.write, a.work + a.handshake, a.proxy);
        let (server, started) = (m.server, m.worker.started_at());
        let told = self.proxies[proxy as usize].told.knows_start(a.server, started);
        if write {
            // Workers do nothing but store: a write is not for them.
            return self.reply(attempt, Outcome::Miss, QUICK);
        }
        self.meter_slow_start(machine, work, told);
        let world = &mut self.world;
        let taken =
            world.machines[machine as usize].worker.offer(self.now, attempt, key, work, told, &world.truth);
        match taken {
            Admission::Accepted => {}
            Admission::Miss => self.reply(attempt, Outcome::Miss, QUICK),
            Admission::Full => self.reply(attempt, Outcome::Rejected, QUICK),
            Admission::Overloaded(over) => {
                self.falls += 1;
                self.note(None, None, Some(server), || "falls over".to_owned());
                let finding = self.verifier.fell(server, &over);
                self.judge(finding, None, None, Some(server));
                self.reply(attempt, Outcome::Reset, 0);
                self.kill_worker(machine);
                self.list_worker(machine, ListedState::Gone, false);
            }
        }
        self.schedule_machine(machine);
    }

    /// Work reaches a backend that may be warming up: counts it against what the settings allow.
    fn meter_slow_start(&mut self, machine: u32, work: f64, notified: bool) {
        let m = &mut self.world.machines[machine as usize];
        let (server, started) = (m.server, m.worker.started_at());
        let Some(reading) = m.slow_start.as_mut().and_then(|meter| meter.record(self.now, work, notified))
        else {
            return;
        };
        // One breach for each start: a backend that has fallen gets nothing more.
        let newly_over = self.record.slow_start(server, started, self.now, &reading);
        if newly_over {
            let finding = self.verifier.slow_start(server, &reading);
            self.judge(finding, None, None, Some(server));
        }
    }

    fn land_at_origin(&mut self, attempt: u64) {
        self.advance_origin();
        if self.world.origin.is_down(self.now) {
            return self.reply(attempt, Outcome::Reset, 0);
        }
        let a = &self.attempts[&attempt];
        let blamed = if a.blamed { a.work } else { 0.0 };
        let work = a.work;
        match self.world.origin.offer(self.now, attempt, work, blamed) {
            origin::Admission::Accepted => {}
            origin::Admission::Full => self.reply(attempt, Outcome::Rejected, QUICK),
            origin::Admission::Overloaded(over) => {
                self.stops += 1;
                self.note(None, None, None, || "the origin stops".to_owned());
                let finding = self.verifier.stopped(&over);
                self.judge(finding, None, None, None);
                self.reply(attempt, Outcome::Reset, 0);
                self.stop_origin(None);
            }
        }
        self.schedule_origin();
    }

    /// The origin stops, until `until` or for as long as it does by itself; what it had is lost.
    pub(super) fn stop_origin(&mut self, until: Option<Time>) {
        self.advance_origin();
        self.digest(32, &[until.unwrap_or(0)]);
        for job in self.world.origin.stop(self.now, until) {
            self.reply(job, Outcome::Reset, 0);
        }
    }

    /// The server learns that nobody waits for an attempt any more.
    pub(super) fn unwanted(&mut self, attempt: u64) {
        let Some(a) = self.attempts.get(&attempt).filter(|a| !a.settled) else { return };
        if !a.landed {
            // It is still on its way: it lands, and its answer finds nobody.
            return;
        }
        let dropped = match a.machine {
            Some(machine) => {
                self.advance_machine(machine);
                let dropped = self.world.machines[machine as usize].worker.cancel(self.now, attempt);
                self.schedule_machine(machine);
                dropped
            }
            None => {
                self.advance_origin();
                let dropped = self.world.origin.cancel(self.now, attempt);
                self.schedule_origin();
                dropped
            }
        };
        if dropped {
            self.server_done(attempt);
        }
    }

    pub(super) fn advance_machine(&mut self, machine: u32) {
        let mut done = std::mem::take(&mut self.done);
        self.world.machines[machine as usize].worker.advance(self.now, &mut done);
        for finished in done.drain(..) {
            let world = &mut self.world;
            let error =
                world.machines[machine as usize].worker.complete_request(self.now, &mut world.service);
            self.reply(finished.job, if error { Outcome::Error } else { Outcome::Ok }, 0);
        }
        self.done = done;
    }

    pub(super) fn schedule_machine(&mut self, machine: u32) {
        let m = &mut self.world.machines[machine as usize];
        if let Some(at) = m.worker.wake_at().map(|at| at.max(self.now)).filter(|at| *at < m.wake) {
            m.wake = at;
            self.agenda.put(at, Next::Wake(machine));
        }
    }

    pub(super) fn advance_origin(&mut self) {
        let mut done = std::mem::take(&mut self.done);
        self.world.origin.advance(self.now, &mut done);
        for finished in done.drain(..) {
            self.carried_out(finished.job);
        }
        self.done = done;
    }

    pub(super) fn schedule_origin(&mut self) {
        let at = self.world.origin.wake_at().map(|at| at.max(self.now));
        if let Some(at) = at.filter(|at| *at < self.world.origin_wake) {
            self.world.origin_wake = at;
            self.agenda.put(at, Next::WakeOrigin);
        }
    }

    /// The origin has done a fetch or a write.
    fn carried_out(&mut self, attempt: u64) {
        let now = self.now;
        let Some(a) = self.attempts.get_mut(&attempt) else { return };
        a.made = now;
        let (order, proxy, request, server) = (a.order, a.proxy, a.request, a.server);
        let o = self.orders.get_mut(&order).expect("an order stays while attempts of it are about");
        if o.want.write {
            let effect = self.spec.classes[o.want.class as usize].effect();
            // A repeat of a keyed write within its window gets the receipt again, and changes nothing.
            let dropped =
                matches!(effect, Effect::Deduplicated { window } if o.ran > 0 && now < o.ran_at + window);
            if !dropped {
                o.ran += 1;
                o.ran_at = now;
                let (class, times, key) = (o.want.class, o.ran, o.want.key);
                self.digest(33, &[order, u64::from(times)]);
                self.world.truth.record_write(now, key);
                let finding = self.verifier.ran(class, times);
                self.judge(finding, Some(proxy), Some(request), Some(server));
            }
        }
        self.reply(attempt, Outcome::Ok, 0);
    }

    /// A worker's process ends: its connections are reset.
    pub(super) fn kill_worker(&mut self, machine: u32) {
        self.advance_machine(machine);
        let m = &mut self.world.machines[machine as usize];
        if m.worker.state() == State::Down {
            return;
        }
        m.process += 1;
        let server = m.server;
        let jobs = m.worker.kill(self.now);
        self.world.connections.close_server(machine);
        self.digest(34, &[u64::from(machine)]);
        self.note(None, None, Some(server), || "its process ends".to_owned());
        // What waits for an answer that is on its way, or lost, keeps no place on a connection that is gone.
        for a in self.attempts.values_mut().filter(|a| a.machine == Some(machine)) {
            a.placed = false;
        }
        for job in jobs {
            self.reply(job, Outcome::Reset, 0);
        }
    }

    /// A worker's process starts, cold and empty.
    pub(super) fn start_worker(&mut self, machine: u32) {
        let now = self.now;
        let m = &mut self.world.machines[machine as usize];
        if m.worker.state() != State::Down {
            return;
        }
        m.worker.start(now);
        m.line.started = m.worker.started_at();
        let allowance = slow_start_allowance(self.spec);
        m.slow_start = Some(SlowStartMeter::new(allowance, m.worker.full_capacity(), m.worker.started_at()));
        let server = m.server;
        self.world.cold.push(machine);
        self.digest(35, &[u64::from(machine)]);
        self.note(None, None, Some(server), || "starts".to_owned());
        self.registry.discard_pending(server);
        self.list_worker(machine, ListedState::Serving, false);
    }

    /// The registry comes to know of a worker.
    pub(super) fn list_worker(&mut self, machine: u32, state: ListedState, silent: bool) {
        let line = EndpointEntry { state, ..self.world.machines[machine as usize].line };
        self.registry.schedule_change(self.now, line, silent);
        self.schedule_registry();
    }

    /// Every day that ends: a breach if a station's own accounts do not add up. Little's law is exact here:
    /// the integral of what was held is the sum of the times that each was held.
    pub(super) fn check_accounts(&mut self) {
        let workers = self.world.machines.iter().map(|m| (Some(m.server), m.worker.station()));
        let stations = workers.chain([(None, self.world.origin.station())]);
        let wrong = stations.filter(|(_, s)| {
            let (t, held) = (s.tally(), s.in_flight());
            t.taken != t.finished + t.dropped + held as u64 || held == 0 && t.held_time != t.sojourn
        });
        let wrong: Vec<_> = wrong.map(|(server, s)| (server, s.tally(), s.in_flight())).collect();
        for (server, tally, held) in wrong {
            let who = server.map_or("the origin".to_owned(), |s| format!("server {s}"));
            let what = format!("{who} holds {held} and has lost count: {tally:?}");
            self.breach(Rule::LeftOver, None, None, server, what);
        }
    }
}
