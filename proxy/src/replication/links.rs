//! Connections between replica nodes. A node writes to the connections that it opens, one for each node that it sends
//! messages to, and only reads from those that it accepts.

use super::ReplicationRuntime;
use crate::group::with_timeout;
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use notchdoor_coordination::shard_map::NodeId;
use notchdoor_replication::wire::{encode, Decoder};
use notchdoor_replication::Message;
use notchdoor_replication::ReplicatedState;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after a failed connection or accept.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Timeout of one write; after it the connection is opened again.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Messages queued for one node. Further ones are dropped; the protocol sends them again.
const MAX_QUEUED_MESSAGES: usize = 1024;
/// Encoded size at which a batch takes no further message, and the size of one write.
const MAX_WRITE_BATCH_BYTES: usize = 64 * 1024;
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Accepted connections; further ones are closed.
const MAX_ACCEPTED_LINKS: usize = 1024;

/// The outbound queue of another node.
pub(super) struct Link<C: ReplicatedState> {
    address: SocketAddr,
    messages: Sender<Message<C>>,
}

impl<C: ReplicatedState> ReplicationRuntime<C> {
    /// Queues a message for a node. Dropped if the shard map does not list the node or its queue is full.
    pub(super) fn send(self: &Rc<Self>, to: NodeId, message: Message<C>) {
        let address = self.node.borrow().shard_map().nodes().get(&to).map(|n| n.at.peer);
        let Some(address) = address else { return };
        let mut links = self.links.borrow_mut();
        // The node has restarted at another address.
        if links.get(&to).is_some_and(|link| link.address != address) {
            links.remove(&to);
        }
        let link = links.entry(to).or_insert_with(|| {
            let (sender, messages) = async_channel::bounded(MAX_QUEUED_MESSAGES);
            self.executor.spawn(Rc::clone(self).keep_link(address, messages)).detach();
            Link { address, messages: sender }
        });
        // Dropped if the queue is full; the protocol sends it again if needed.
        let _ = link.messages.try_send(message);
    }

    /// Writes queued messages to a node and reconnects after errors, until the queue is closed.
    async fn keep_link(self: Rc<Self>, address: SocketAddr, messages: Receiver<Message<C>>) {
        while !messages.is_closed() {
            if let Err(error) = self.write_messages(address, &messages).await {
                log::debug!(peer:% = address; "copies: cannot write to node at {address}: {error}");
                // Queued messages would be outdated by the time of the next connection.
                while messages.try_recv().is_ok() {}
                Timer::after(RETRY_DELAY).await;
            }
        }
    }

    async fn write_messages(&self, address: SocketAddr, messages: &Receiver<Message<C>>) -> io::Result<()> {
        let io = with_timeout(CONNECT_TIMEOUT, Async::<TcpStream>::connect(address)).await?;
        let _ = io.get_ref().set_nodelay(true);
        while let Ok(first) = messages.recv().await {
            let mut bytes = Vec::new();
            let mut next = Some(first);
            while let Some(message) = next {
                if !encode(self.address.id, &message, &mut bytes) {
                    log::error!("copies: message dropped, it exceeds the maximum frame size");
                }
                next = (bytes.len() < MAX_WRITE_BATCH_BYTES).then(|| messages.try_recv().ok()).flatten();
            }
            for piece in bytes.chunks(MAX_WRITE_BATCH_BYTES) {
                with_timeout(WRITE_TIMEOUT, (&io).write_all(piece)).await?;
            }
        }
        Ok(())
    }

    pub(super) async fn accept_links(self: Rc<Self>, listener: Async<TcpListener>) {
        loop {
            match listener.accept().await {
                Ok((io, _)) if self.accepted_links.get() < MAX_ACCEPTED_LINKS => {
                    self.accepted_links.set(self.accepted_links.get() + 1);
                    let runtime = Rc::clone(&self);
                    let read = async move {
                        if let Err(error) = runtime.read_messages(&io).await {
                            log::debug!("copies: connection from another node ended: {error}");
                        }
                        runtime.accepted_links.set(runtime.accepted_links.get() - 1);
                    };
                    self.executor.spawn(read).detach();
                }
                Ok(_) => {
                    log::warn!(
                        "copies: connection closed, limit of {MAX_ACCEPTED_LINKS} connections reached"
                    );
                }
                Err(_) => drop(Timer::after(RETRY_DELAY).await),
            }
        }
    }

    async fn read_messages(self: &Rc<Self>, mut io: &Async<TcpStream>) -> io::Result<()> {
        let (mut decoder, mut buffer) = (Decoder::default(), vec![0; READ_BUFFER_BYTES]);
        loop {
            let invalid = |error| io::Error::new(io::ErrorKind::InvalidData, format!("{error}"));
            while let Some((from, message)) = decoder.next_message::<C>().map_err(invalid)? {
                // Dropping is safe: a primary repeats its messages until they are acknowledged.
                if !self.is_store_behind() || matches!(message, Message::Response { .. }) {
                    self.node.borrow_mut().receive(self.clock.now(), from, message);
                }
            }
            self.process_output();
            let room = decoder.remaining_capacity().min(buffer.len());
            let read = io.read(&mut buffer[..room]).await?;
            if read == 0 {
                return Ok(());
            }
            decoder.push_bytes(&buffer[..read]);
        }
    }
}
