//! Accepts client connections within the descriptor budget.

use super::undelivered::UndeliveredOutput;
use super::{serve, Client};
use crate::net::{lacks_descriptor, Listener, Stream};
use crate::state::pool::Ticket;
use crate::wire::driver::Runtime;
use async_io::Timer;
use notchdoor::Micros;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// Pause between attempts to get a descriptor from the budget.
const DESCRIPTOR_RETRY_PAUSE: Duration = Duration::from_millis(2);
/// The descriptor shortage ends once no client has connected for this long.
const SHORTAGE_RESET_US: Micros = 20_000;

/// Accepts connections until the task is dropped.
pub async fn accept(runtime: Rc<Runtime>, listener: Rc<Listener>) {
    // Start of the current shortage. It spans consecutive accepts, so that only the first client waits for the
    // stricter eviction levels.
    let mut shortage_since = None;
    loop {
        // Takes a descriptor before accepting: a connection that cannot be served stays in the backlog.
        let ticket = loop {
            match runtime.client_budget.take() {
                Some(ticket) => break ticket,
                None => {
                    runtime.descriptors_short.set(true);
                    let now = runtime.clock.now();
                    runtime.retire_idle(Some(now.saturating_sub(*shortage_since.get_or_insert(now))));
                    Timer::after(DESCRIPTOR_RETRY_PAUSE).await;
                }
            }
        };
        runtime.descriptors_short.set(false);
        // A load balancer in front may allow fewer connections than this budget, so idle connections are retired
        // before the budget is exhausted.
        if runtime.client_budget.used() * 2 > runtime.client_budget.limit() {
            runtime.retire_idle(None);
        }
        let accepting_since = runtime.clock.now();
        let io = listener.accept(|error| runtime.accept_failed(error)).await;
        shortage_since = shortage_since.filter(|_| accepting_since + SHORTAGE_RESET_US > runtime.clock.now());
        admit(&runtime, io, ticket);
    }
}

/// Starts serving an accepted connection.
pub fn admit(runtime: &Rc<Runtime>, io: Stream, ticket: Ticket) {
    runtime.proxy.borrow_mut().counters.accepted += 1;
    let id = runtime.next_client.get();
    runtime.next_client.set(id + 1);
    let client = Rc::new(Client {
        io,
        session: RefCell::default(),
        wake: async_channel::bounded(1),
        broken: Cell::new(false),
        stalled: Cell::new(false),
        retiring: Cell::new(false),
        last_active: Cell::new(runtime.clock.now()),
        partial_since: Cell::new(0),
        upload_counted_until: Cell::new(0),
        held_up_until: Cell::new(0),
        relay_ready: Rc::default(),
        unsent_reply_bytes: Rc::clone(&runtime.unsent_reply_bytes),
        unsent_share: Cell::new(0),
        partial_command_bytes: Rc::clone(&runtime.partial_command_bytes),
        partial_share: Cell::new(0),
        waiting_command_bytes: Cell::new(0),
        output_blocked: Cell::new(false),
        blocked_since: Cell::new(0),
        last_progress: Cell::new(0),
        undelivered: UndeliveredOutput::default(),
    });
    runtime.clients.borrow_mut().insert(id, Rc::clone(&client));
    runtime.spawn(serve(Rc::clone(runtime), id, client, ticket));
}

impl Runtime {
    /// Counts a failed accept. If descriptors are exhausted, closes an idle connection.
    pub(in crate::wire::driver) fn accept_failed(&self, error: &std::io::Error) {
        let errors = {
            let counters = &mut self.proxy.borrow_mut().counters;
            counters.accept_errors += 1;
            counters.accept_errors
        };
        if errors.is_power_of_two() {
            log::warn!(errors; "acceptor: cannot accept a connection ({errors} times so far): {error}");
        }
        if lacks_descriptor(error) && !self.pools.borrow_mut().evict() {
            self.retire_idle(Some(0));
        }
    }
}
