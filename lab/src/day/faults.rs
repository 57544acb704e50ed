//! What goes wrong in a day, step by step. Step 0 begins a fault; later steps are put on the agenda by it.

use super::world::Next;
use super::Day;
use notchdoor_model::backend::State;
use notchdoor_model::discovery::ListedState;
use notchdoor_model::faults::{Fault, FaultKind, ParameterName};
use notchdoor_model::time::{secs, Time};
use rand::seq::SliceRandom;
use rand::RngExt;

/// The step that ends a fault which lasts.
const END: u32 = u32::MAX;
/// A planned restart lets a proxy take new connections for so long after it was asked to stop.
const CLOSING: Time = 450_000;
/// And finishes it so long after the longest deadline.
const KILLED: Time = 700_000;

impl Day<'_> {
    fn put_step(&mut self, i: u32, after: Time, step: u32) {
        self.agenda.put(self.now + after, Next::Fault(i, step));
    }

    /// Workers that run and can be heard, by chance.
    fn some_workers(&mut self, count: usize) -> Vec<u32> {
        let up = |i: &u32| {
            self.world.machines[*i as usize].worker.state() == State::Up
                && !self.world.silence.is_silent(*i, self.now)
        };
        let mut workers: Vec<u32> = (0..self.world.machines.len() as u32).filter(up).collect();
        workers.shuffle(&mut self.fault_rng);
        workers.truncate(count);
        workers
    }

    /// Proxies that run, by chance; never all.
    fn some_proxies(&mut self, count: usize) -> Vec<u32> {
        let mut proxies: Vec<u32> =
            (0..self.proxies.len() as u32).filter(|p| self.proxies[*p as usize].up).collect();
        proxies.shuffle(&mut self.fault_rng);
        proxies.truncate(count.min(proxies.len().saturating_sub(1)));
        proxies
    }

    #[expect(clippy::too_many_lines, reason = "one arm a kind of fault; to be split by what they act on")]
    pub(super) fn fault(&mut self, i: u32, step: u32) {
        let fault = self.spec.faults[i as usize].clone();
        let name = fault.kind.name();
        self.digest(40, &[u64::from(i), u64::from(step)]);
        self.note(None, None, None, || match step {
            0 => format!("fault {i} begins: {name}"),
            END => format!("fault {i} ends: {name}"),
            n => format!("fault {i}, step {n}: {name}"),
        });
        let length = secs(fault.length_s);
        let until = self.now + length;
        let (count, back) = (
            fault.parameter_value(ParameterName::Count) as usize,
            secs(fault.parameter_value(ParameterName::Back)),
        );
        match fault.kind {
            FaultKind::NoisyNeighbor => self.neighbour(i, step, &fault, length),
            FaultKind::Flush => {
                let salt = self.fault_rng.random();
                self.world.truth.flush(self.now, fault.parameter_value(ParameterName::Share), salt);
            }
            FaultKind::HotKey => {
                let (share, every) = (
                    fault.parameter_value(ParameterName::Share),
                    secs(fault.parameter_value(ParameterName::Every)),
                );
                self.demand.add_hot_keys(self.now, until, count as u64, share, every);
            }
            FaultKind::Scan => {
                self.demand.add_scan(self.now, until, fault.parameter_value(ParameterName::Share));
            }
            FaultKind::RateChange => {
                self.demand.scale_rate(self.now, until, fault.parameter_value(ParameterName::Factor));
            }
            FaultKind::LateReports => {
                let (delay, skew) = if step == END {
                    (0, 0)
                } else {
                    self.put_step(i, length, END);
                    (
                        secs(fault.parameter_value(ParameterName::Delay)),
                        secs(fault.parameter_value(ParameterName::Skew)) as i64,
                    )
                };
                for (n, m) in self.world.machines.iter_mut().enumerate() {
                    m.worker.reporter.set_delay_fault(delay, if n % 2 == 0 { skew } else { -skew });
                }
            }
            FaultKind::Shrink => self.shrink(i, step, &fault, length),
            FaultKind::Grow => {
                if (step as usize) < count {
                    let zones = self.spec.zones.len() as u32;
                    let zone = self.world.machines.len() as u32 % zones;
                    self.new_worker(zone);
                    self.put_step(i, length / count.max(1) as Time, step + 1);
                }
            }
            FaultKind::KillBackends => match step {
                0 => {
                    let victims = self.some_workers(count);
                    for &machine in &victims {
                        self.kill_worker(machine);
                        self.list_worker(machine, ListedState::Gone, false);
                    }
                    self.come_back(i, victims, back);
                }
                _ => self.start_again(i),
            },
            FaultKind::RestartBackends => self.restart_workers(i, step, &fault, length),
            FaultKind::KillProxies | FaultKind::StaleList => match step {
                0 => {
                    let victims = self.some_proxies(count);
                    for &proxy in &victims {
                        self.kill_proxy(proxy);
                    }
                    self.come_back(i, victims, back);
                }
                _ => {
                    for proxy in self.fault_state.remove(&i).unwrap_or_default() {
                        let stale = fault.kind == FaultKind::StaleList;
                        let list = if stale {
                            self.stale_list(fault.parameter_value(ParameterName::Part))
                        } else {
                            self.registry.list().to_vec()
                        };
                        self.start_proxy(proxy, &list);
                    }
                }
            },
            FaultKind::RestartProxies => self.restart_proxies(i, step, &fault, length),
            FaultKind::ZoneCut => {
                let zone = fault.parameter_value(ParameterName::Zone) as u32 % self.spec.zones.len() as u32;
                self.world.network.set_zone_isolated(zone, step != END);
                if step != END {
                    self.put_step(i, length, END);
                }
            }
            FaultKind::OriginStop => {
                self.stop_origin(Some(until));
                self.schedule_origin();
            }
            FaultKind::DiscoveryDown => {
                let mut told = std::mem::take(&mut self.told);
                self.registry.fail_until(self.now, until, &mut told);
                self.put_tellings(told);
            }
            FaultKind::Silent => self.silent(i, step, count, length),
            FaultKind::ReuseAddress => match step {
                0 => {
                    let victims = self.some_workers(count);
                    for &machine in &victims {
                        self.kill_worker(machine);
                        self.list_worker(machine, ListedState::Gone, false);
                    }
                    self.fault_state.insert(i, victims);
                    // It is never back as itself, so 0 is at once here.
                    self.put_step(i, back.max(1), 1);
                }
                _ => {
                    for old in self.fault_state.remove(&i).unwrap_or_default() {
                        let zone = self.world.machines[old as usize].line.zone;
                        let new = self.new_worker(zone);
                        let old = self.world.machines[old as usize].server;
                        self.world.address.insert(old, new);
                    }
                }
            },
        }
    }

    /// Those that a fault took come back after a while; never, if that is 0.
    fn come_back(&mut self, i: u32, victims: Vec<u32>, back: Time) {
        if back > 0 {
            self.fault_state.insert(i, victims);
            self.put_step(i, back, 1);
        }
    }

    fn start_again(&mut self, i: u32) {
        for machine in self.fault_state.remove(&i).unwrap_or_default() {
            self.start_worker(machine);
        }
    }

    /// A machine that was never seen before starts, cold and empty.
    fn new_worker(&mut self, zone: u32) -> u32 {
        let machine = self.world.add_machine(self.spec, zone);
        self.world.machines[machine as usize].worker.kill(self.now);
        self.start_worker(machine);
        machine
    }

    fn neighbour(&mut self, i: u32, step: u32, fault: &Fault, length: Time) {
        if step == 0 {
            let part = fault.parameter_value(ParameterName::Part);
            let count = (part * self.world.machines.len() as f64).round().max(1.0);
            let victims = self.some_workers(count as usize);
            self.fault_state.insert(i, victims);
            self.put_step(i, length, END);
        }
        let on = step != END && step.is_multiple_of(2);
        let share = if on { fault.parameter_value(ParameterName::Share) } else { 0.0 };
        for machine in self.fault_state.get(&i).cloned().unwrap_or_default() {
            self.advance_machine(machine);
            self.world.machines[machine as usize].worker.set_stolen_cpu_share(self.now, share);
            self.schedule_machine(machine);
        }
        let every = secs(fault.parameter_value(ParameterName::Every)).max(100_000);
        let ends = secs(self.spec.warm_up_s + fault.at_s) + length;
        if step != END && self.now + every < ends {
            self.put_step(i, every, step + 1);
        }
    }

    /// Odd steps drain one worker more, even ones end those whose drain is over.
    fn shrink(&mut self, i: u32, step: u32, fault: &Fault, length: Time) {
        let part = fault.parameter_value(ParameterName::Part);
        if step == 0 {
            let up = self.world.machines.iter().filter(|m| m.worker.state() == State::Up).count();
            let count = ((1.0 - part) * up as f64).round() as usize;
            let victims = self.some_workers(count.min(up.saturating_sub(1)));
            let n = victims.len() as Time;
            self.fault_state.insert(i, victims);
            for k in 0..n {
                let after = length * k / n.max(1);
                self.put_step(i, after, 1 + 2 * k as u32);
                self.put_step(i, after + secs(fault.parameter_value(ParameterName::Every)), 2 + 2 * k as u32);
            }
            // Traffic falls in four steps, for the rest of the day.
            let steps: u32 = 4;
            let factor = part.powf(1.0 / f64::from(steps));
            for k in 1..=steps {
                let from = self.now + length * Time::from(k) / Time::from(steps);
                self.demand.scale_rate(from, Time::MAX, factor);
            }
            return;
        }
        let victims = self.fault_state.get(&i).cloned().unwrap_or_default();
        if let Some(&machine) = victims.get(((step - 1) / 2) as usize) {
            if step % 2 == 1 {
                self.drain(machine);
            } else {
                self.kill_worker(machine);
                self.list_worker(machine, ListedState::Gone, false);
            }
        }
    }

    fn drain(&mut self, machine: u32) {
        let m = &mut self.world.machines[machine as usize];
        if m.worker.state() == State::Up {
            m.worker.drain();
            let server = m.server;
            self.note(None, None, Some(server), || "drains".to_owned());
            self.list_worker(machine, ListedState::Draining, false);
        }
    }

    /// Workers drain, stop and start again, one after another, over the length of the fault.
    fn restart_workers(&mut self, i: u32, step: u32, fault: &Fault, length: Time) {
        let count = fault.parameter_value(ParameterName::Count) as usize;
        if step == 0 {
            let victims = self.some_workers(count);
            let n = victims.len() as Time;
            self.fault_state.insert(i, victims);
            let (drain, back) = (
                secs(fault.parameter_value(ParameterName::Every)),
                secs(fault.parameter_value(ParameterName::Back)),
            );
            for k in 0..n {
                let after = length * k / n.max(1);
                let first = 1 + 3 * k as u32;
                self.put_step(i, after, first);
                self.put_step(i, after + drain, first + 1);
                self.put_step(i, after + drain + back, first + 2);
            }
            return;
        }
        let victims = self.fault_state.get(&i).cloned().unwrap_or_default();
        let Some(&machine) = victims.get(((step - 1) / 3) as usize) else { return };
        match (step - 1) % 3 {
            0 => self.drain(machine),
            1 => {
                self.kill_worker(machine);
                self.list_worker(machine, ListedState::Gone, false);
            }
            _ => self.start_worker(machine),
        }
    }

    /// Proxies stop in order and start again, one after another.
    fn restart_proxies(&mut self, i: u32, step: u32, fault: &Fault, length: Time) {
        let count = fault.parameter_value(ParameterName::Count) as usize;
        if step == 0 {
            let victims = self.some_proxies(count);
            let n = victims.len() as Time;
            self.fault_state.insert(i, victims);
            let longest = self.spec.classes.iter().map(|c| secs(c.deadline_ms / 1e3)).max().unwrap_or(0);
            let back = secs(fault.parameter_value(ParameterName::Back)).max(1);
            for k in 0..n {
                let after = length * k / n.max(1);
                let first = 1 + 3 * k as u32;
                self.put_step(i, after + CLOSING, first);
                self.put_step(i, after + longest + KILLED, first + 1);
                self.put_step(i, after + longest + KILLED + back, first + 2);
            }
            return;
        }
        let victims = self.fault_state.get(&i).cloned().unwrap_or_default();
        let Some(&proxy) = victims.get(((step - 1) / 3) as usize) else { return };
        match (step - 1) % 3 {
            // It takes no new connections, and the front sees that at once.
            0 => self.front.set_down_since(
                proxy,
                Some(self.now.saturating_sub(secs(self.spec.front.detection_delay_s))),
            ),
            1 => self.kill_proxy(proxy),
            _ => {
                let list = self.registry.list().to_vec();
                self.start_proxy(proxy, &list);
            }
        }
    }

    fn silent(&mut self, i: u32, step: u32, count: usize, length: Time) {
        if step == 0 {
            let victims = self.some_workers(count);
            for &machine in &victims {
                self.world.silence.begin(machine, self.now + length);
                self.list_worker(machine, ListedState::Gone, true);
            }
            self.fault_state.insert(i, victims);
            self.put_step(i, length, END);
            return;
        }
        for machine in self.fault_state.remove(&i).unwrap_or_default() {
            self.world.silence.end(machine);
            let server = self.world.machines[machine as usize].server;
            self.registry.discard_pending(server);
            if self.world.machines[machine as usize].worker.state() == State::Up {
                self.list_worker(machine, ListedState::Serving, false);
            }
        }
    }
}
