//! The time of a large write while its value is received.
//!
//! The time of a request counts from its last byte, which the proxy sees late if it does not read. So while a client could go
//! on, the time counts against its request, whether the server or the proxy holds it up. Time in which the client is waited for
//! does not count, and once the server has taken all that came, the count begins anew.

use super::Client;
use crate::outcome::ConnectionEnd;
use crate::proxy::ReplySlot;
use crate::wire::driver::Runtime;
use async_io::Timer;
use futures_lite::future;
use std::io;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::Duration;

/// Who the time since the last step of an upload was spent on.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum TimeSpent {
    /// The client could have gone on.
    HeldUp,
    /// All that the client had sent was read.
    OnClient,
    /// The client was waited for.
    WaitingForClient,
}

/// Waits while the buffer of a streamed value is full; returns true if it had to wait. Time spent waiting for the
/// origin counts against the request, and not towards the client's command timeout.
pub(super) async fn wait_for_stream_buffer(
    runtime: &Rc<Runtime>,
    id: u64,
    client: &Client,
) -> ControlFlow<ConnectionEnd, bool> {
    let incoming = client.session.borrow().incoming();
    let Some(streamed) = incoming.filter(|s| s.available() == 0) else { return ControlFlow::Continue(false) };
    client.partial_since.set(0);
    let out_of_time = async {
        Timer::after(Duration::from_micros(streamed.time_left())).await;
    };
    if client.unless_left(future::or(streamed.changed(), out_of_time)).await.is_none() {
        return ControlFlow::Break(ConnectionEnd::ClientLeft);
    }
    runtime.count_upload_time(id, client, TimeSpent::HeldUp);
    ControlFlow::Continue(true)
}

/// Waits until the client has sent more.
pub(super) async fn wait_for_input(runtime: &Rc<Runtime>, id: u64, client: &Client) -> io::Result<()> {
    client.io.readable().await?;
    runtime.count_upload_time(id, client, TimeSpent::WaitingForClient);
    Ok(())
}

impl Runtime {
    /// Counts the time since the last step of the large write that is received, if there is one. Gives the write up if it was
    /// held up for as long as its client waits.
    pub(super) fn count_upload_time(self: &Rc<Self>, id: u64, client: &Client, spent: TimeSpent) {
        let now = self.clock.now();
        let time = now.saturating_sub(client.upload_counted_until.replace(now));
        let Some(streamed) = client.session.borrow().incoming() else { return };
        match spent {
            TimeSpent::HeldUp => streamed.record_held_up(time),
            TimeSpent::WaitingForClient => streamed.record_client_wait(time),
            TimeSpent::OnClient => {}
        }
        let sequence = client.session.borrow().incoming_sequence();
        if let Some(sequence) = sequence.filter(|_| streamed.time_left() == 0) {
            self.drive(|proxy, now| proxy.give_up_upload(now, ReplySlot { connection: id, sequence }));
        }
    }
}
