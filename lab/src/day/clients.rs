//! The clients' side of a day: wants, tries, waits, leaving, hearing.

use super::world::Next;
use super::{Day, Order, Try};
use notchdoor::{Event, Request};
use notchdoor_model::clients::AttemptResult;
use notchdoor_model::time::{ms, Time};
use rand::RngExt;

impl Day<'_> {
    /// The way between a client and a proxy, one way.
    fn client_delay(&mut self) -> Time {
        let usual = ms(self.spec.network.client_ms) as f64;
        (usual * (1.0 + self.spec.network.jitter * self.clients.random::<f64>())) as Time
    }

    /// The next request of the day.
    pub(super) fn want(&mut self) {
        let want = self.demand.generate(self.now);
        let claim = self.record.wanted(self.spec, &want);
        let id = self.id();
        let order = Order { want, claim, tries: 0, risked: None, ran: 0, ran_at: 0, settled: false, refs: 1 };
        self.orders.insert(id, order);
        self.send_try(id);
        self.release(id);
        let next = self.demand.next_arrival(self.now);
        if next < self.end {
            self.agenda.put(next, Next::Want);
        }
    }

    /// A client sends a try: the front deals it to a proxy.
    pub(super) fn send_try(&mut self, order: u64) {
        let (zone, class) = match self.orders.get(&order) {
            Some(o) => (o.want.zone, o.want.class),
            None => return,
        };
        let proxy = self.front.pick(self.now, zone, &mut self.clients);
        let delay = self.client_delay();
        let o = self.orders.get_mut(&order).expect("looked up above");
        o.tries += 1;
        o.refs += 1;
        let (due, leaves) = self.client_behaviour.attempt_timeout(&o.want, self.now, &mut self.clients);
        let id = self.id();
        let sent = self.now;
        let up = proxy.filter(|&p| self.proxies[p as usize].up);
        self.tries.insert(
            id,
            Try {
                order,
                proxy: proxy.unwrap_or(0),
                process: up.map_or(0, |p| self.proxies[p as usize].process),
                sent,
                due,
                open: false,
                waited: true,
                heard: None,
                attempts: Vec::new(),
                numbers: Vec::new(),
                out: 0,
                missed: [None; 2],
                cold_miss: false,
            },
        );
        let at = self.record.at(sent);
        at.counts.tries += 1;
        self.digest(1, &[id, order, proxy.map_or(u64::MAX, u64::from), due]);
        self.note(proxy, Some(id), None, || format!("a client sends a try of class {class}, due {due}"));
        match up {
            Some(_) => {
                let at = self.at_proxy(self.now + delay);
                self.agenda.put(at, Next::Reach(id));
                self.agenda.put(due, Next::GaveUp(id));
                if let Some(leaves) = leaves {
                    self.agenda.put(leaves, Next::Leave(id));
                }
            }
            None => self.answer_client(id, AttemptResult::Unreachable, 2 * delay),
        }
    }

    /// A client will hear how its try ended.
    pub(super) fn answer_client(&mut self, id: u64, heard: AttemptResult, after: Time) {
        if let Some(t) = self.tries.get_mut(&id) {
            t.heard = Some(heard);
            self.agenda.put(self.now + after, Next::Heard(id));
        }
    }

    /// Likewise, after the usual way back.
    pub(super) fn answer(&mut self, id: u64, heard: AttemptResult) {
        let delay = self.client_delay();
        self.answer_client(id, heard, delay);
    }

    /// A try reaches its proxy, whole.
    pub(super) fn reach(&mut self, id: u64) {
        let Some(t) = self.tries.get_mut(&id) else { return };
        let (proxy, process, order, due) = (t.proxy, t.process, t.order, t.due);
        if !self.runs(proxy, process) {
            return self.answer(id, AttemptResult::Unreachable);
        }
        let t = self.tries.get_mut(&id).expect("looked up above");
        t.open = true;
        let want = self.orders[&order].want.clone();
        let p = &mut self.proxies[proxy as usize];
        p.held += 1;
        p.open.insert(id);
        let group = p.policy.group(want.key);
        if !want.write {
            let share = self.world.cold_share(self.now, self.spec);
            if share > 0.0 {
                self.world.origin.record_expected(self.now, share * self.world.fetch_work);
            }
        }
        let slack = ms(self.spec.rules.answer_slack_ms).max(self.tick);
        self.agenda.put(due + slack, Next::Overdue(id));
        self.feed(
            proxy,
            Event::Arrived(Request {
                id,
                class: Some(want.class),
                tenant: Some(want.tenant),
                key: Some(want.key),
                group,
                write: want.write,
                upload: false,
                deadline: due,
            }),
        );
    }

    /// A client leaves before its time.
    pub(super) fn leave(&mut self, id: u64) {
        let Some(t) = self.tries.get_mut(&id).filter(|t| t.waited) else { return };
        t.waited = false;
        let (open, proxy, process, order) = (t.open, t.proxy, t.process, t.order);
        self.record.at(self.now).counts.left += 1;
        if open && self.runs(proxy, process) {
            self.close(id);
            self.feed(proxy, Event::ClientLeft(id));
            self.drop_try(id);
        }
        self.settle(order);
    }

    /// A client has waited for a try as long as it would.
    pub(super) fn gave_up(&mut self, id: u64) {
        let Some(t) = self.tries.get_mut(&id).filter(|t| t.waited) else { return };
        t.waited = false;
        let order = t.order;
        self.after_try(order, id, AttemptResult::TimedOut);
    }

    /// A proxy owes an answer that should be out by now.
    pub(super) fn overdue(&mut self, id: u64) {
        let Some(t) = self.tries.get(&id).filter(|t| t.open) else { return };
        let (proxy, late) = (t.proxy, (self.now - t.due) / 1000);
        let what = format!("no final answer {late} ms after the client's time");
        self.breach(crate::rules::Rule::OneAnswer, Some(proxy), Some(id), None, what);
        self.close(id);
        self.feed(proxy, Event::ClientLeft(id));
        self.drop_try(id);
    }

    /// A client hears how its try ended.
    pub(super) fn heard(&mut self, id: u64) {
        let Some(t) = self.tries.get_mut(&id) else { return };
        let (order, heard) = (t.order, t.heard);
        let waited = std::mem::replace(&mut t.waited, false);
        if let Some(heard) = heard.filter(|_| waited) {
            self.after_try(order, id, heard);
        }
        self.drop_try(id);
    }

    /// What a client does once it knows how a try ended, or has waited in vain.
    fn after_try(&mut self, order: u64, id: u64, heard: AttemptResult) {
        let sent = self.tries[&id].sent;
        let unreachable = heard == AttemptResult::Unreachable;
        self.record.at(self.now).counts.unreachable += u64::from(unreachable);
        let Some(o) = self.orders.get_mut(&order).filter(|o| !o.settled) else { return };
        if heard == AttemptResult::Answered {
            o.settled = true;
            let (claim, latency) = (o.claim, self.now - o.want.requested_at);
            self.record.served(self.spec, claim, latency);
            return;
        }
        if matches!(heard, AttemptResult::Failed | AttemptResult::TimedOut) {
            o.risked.get_or_insert(sent);
        }
        let effect = self.spec.classes[o.want.class as usize].effect();
        let (tries, risked) = (o.tries, o.risked);
        let again = self.client_behaviour.retry_at(
            &o.want,
            effect,
            (heard, tries),
            risked,
            self.now,
            &mut self.clients,
        );
        match again {
            Some(at) => self.agenda.put(at, Next::Try(order)),
            None => self.settle(order),
        }
    }

    /// An order will not be served any more.
    fn settle(&mut self, order: u64) {
        if let Some(o) = self.orders.get_mut(&order).filter(|o| !o.settled) {
            o.settled = true;
            let aim = ms(self.spec.classes[o.want.class as usize].latency_objective_ms);
            let (claim, late) = (o.claim, self.now > o.want.requested_at + aim);
            self.record.lost(claim, late);
            if o.refs == 0 {
                self.orders.remove(&order);
            }
        }
    }

    /// A try is over for its proxy.
    pub(super) fn close(&mut self, id: u64) {
        if let Some(t) = self.tries.get_mut(&id).filter(|t| t.open) {
            t.open = false;
            let (proxy, out) = (t.proxy, t.out);
            let p = &mut self.proxies[proxy as usize];
            p.open.remove(&id);
            p.held -= usize::from(out == 0);
        }
    }

    /// Forgets a try that nobody has anything to do with any more.
    pub(super) fn drop_try(&mut self, id: u64) {
        let Some(t) = self.tries.get(&id) else { return };
        let hears = t.waited && t.heard.is_some();
        if !t.open && t.out == 0 && !hears {
            let order = t.order;
            self.tries.remove(&id);
            self.release(order);
        }
    }
}
