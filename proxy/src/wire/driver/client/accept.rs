//! Accepts clients, for as long as there are descriptors for them.

use super::{serve, Client};
use crate::net::{lacks_descriptor, Listener};
use crate::state::pool::Ticket;
use crate::wire::driver::Runtime;
use async_io::{Async, Timer};
use notchdoor::Micros;
use std::cell::{Cell, RefCell};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// Pause before it is tried again to get a descriptor.
const DESCRIPTOR_RETRY_PAUSE: Duration = Duration::from_millis(2);
/// Descriptors are short until nobody has come for so long.
const CALM: Micros = 20_000;

/// Accepts connections until the task is dropped.
pub async fn accept(runtime: Rc<Runtime>, listener: Rc<Listener>) {
    // Since when room is short: of a crowd, none but the first has to wait for those who stay to be asked to go.
    let mut short_since = None;
    loop {
        // A descriptor of the budget first: a connection that could not be served is left to the backlog.
        let ticket = loop {
            match runtime.client_budget.take() {
                Some(ticket) => break ticket,
                None => {
                    runtime.short.set(true);
                    let now = runtime.clock.now();
                    runtime.retire_some(Some(now.saturating_sub(*short_since.get_or_insert(now))));
                    Timer::after(DESCRIPTOR_RETRY_PAUSE).await;
                }
            }
        };
        runtime.short.set(false);
        // A front may hold fewer connections than there is room for here: once its own room is full of those that stay it
        // cannot open another one, and its clients are rejected without a word from here.
        if runtime.client_budget.used() * 2 > runtime.client_budget.limit() {
            runtime.retire_some(None);
        }
        let free_since = runtime.clock.now();
        let io = listener.accept(|error| runtime.accept_failed(error)).await;
        short_since = short_since.filter(|_| free_since + CALM > runtime.clock.now());
        admit(&runtime, io, ticket);
    }
}

/// Serves a connection that was accepted.
pub fn admit(runtime: &Rc<Runtime>, io: Async<TcpStream>, ticket: Ticket) {
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
        used: Cell::new(runtime.clock.now()),
        half_since: Cell::new(0),
        room: Rc::default(),
        unsent: Rc::clone(&runtime.unsent),
        counted: Cell::new(0),
        half_read: Rc::clone(&runtime.half_read),
        counted_half: Cell::new(0),
        moved: Cell::new(0),
    });
    runtime.clients.borrow_mut().insert(id, Rc::clone(&client));
    runtime.spawn(serve(Rc::clone(runtime), id, client, ticket));
}

impl Runtime {
    /// Counts a failure to accept a client, and has a descriptor freed where none was left.
    pub(in crate::wire::driver) fn accept_failed(&self, error: &std::io::Error) {
        let errors = {
            let counters = &mut self.proxy.borrow_mut().counters;
            counters.accept_errors += 1;
            counters.accept_errors
        };
        if errors.is_power_of_two() {
            log::warn!(errors; "acceptor: cannot accept ({errors} times so far): {error}");
        }
        if lacks_descriptor(error) && !self.pools.borrow_mut().evict() {
            self.retire_some(Some(0));
        }
    }
}
