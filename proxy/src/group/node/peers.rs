//! Connections between members. Each member writes to the connections that it opens and reads from those that it
//! accepts.

use super::accept::accept;
use super::{add_to_counter, Inbound, MemberRuntime, PeerQueue, CONNECT_TIMEOUT, RECONNECT_DELAY};
use crate::group::frames::{self, Frames};
use crate::group::with_timeout;
use ::log::{debug, info, log, warn, Level};
use async_channel::Receiver;
use async_executor::Task;
use async_io::{Async, Timer};
use futures_lite::future;
use notchdoor_coordination::membership::Membership;
use notchdoor_coordination::wire::{Frame, Message, MAX_FRAME};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// Accepted connections of members; further ones are closed.
const MAX_PEER_CONNECTIONS: usize = 64;
/// Frames queued for one member. Further ones are dropped, and Raft sends their contents again.
const MAX_QUEUED_PEER_FRAMES: usize = 1024;

impl MemberRuntime {
    /// Queues messages for their members. Opens connections to new members and closes those to removed ones.
    pub(super) fn send(self: &Rc<Self>, messages: Vec<Message>, book: &Membership) {
        let mut peers = self.peers.borrow_mut();
        peers.retain(|id, _| book.members().contains_key(id));
        for message in messages {
            let to = message.to;
            let Some(listed) = book.members().get(&to) else { continue };
            let peer = peers.entry(to).or_insert_with(|| {
                // The address in this member's configuration takes precedence, since it may be that of a relay.
                let own = self.config.members.iter().find(|m| m.id == to);
                let at = own.map_or(listed.at.peer, |m| m.peer);
                let (sender, frames) = async_channel::bounded(MAX_QUEUED_PEER_FRAMES);
                let connection = self.executor.spawn(Rc::clone(self).keep_connected(to, at, frames));
                PeerQueue { frames: sender, _connection: connection }
            });
            let frame = Frame::Peer(message);
            let snapshot = frame.is_snapshot();
            if peer.frames.try_send(frame).is_err() {
                add_to_counter(&self.counters.dropped, 1);
                let failure =
                    if snapshot { Inbound::SnapshotSent(to, false) } else { Inbound::Unreachable(to) };
                let _ = self.inbox.try_send(failure);
            }
        }
    }

    /// Writes the queued frames to a member and reconnects after errors, until the queue is closed.
    pub(super) async fn keep_connected(self: Rc<Self>, id: u64, at: SocketAddr, frames: Receiver<Frame>) {
        let mut reached = true;
        loop {
            let ended = match with_timeout(CONNECT_TIMEOUT, Async::<TcpStream>::connect(at)).await {
                Ok(io) => {
                    let _ = io.get_ref().set_nodelay(true);
                    if !std::mem::replace(&mut reached, true) {
                        info!(member = id; "member {id} is reachable again");
                    }
                    let sent = |batch: &[Frame], bytes: usize| {
                        add_to_counter(&self.counters.messages_out, batch.len());
                        add_to_counter(&self.counters.bytes_out, bytes);
                        if batch.iter().any(Frame::is_snapshot) {
                            let _ = self.inbox.try_send(Inbound::SnapshotSent(id, true));
                        }
                    };
                    let written = frames::write(&io, &frames, sent);
                    // The other side never writes on this connection, so that it only becomes readable when it is closed.
                    let ended = async {
                        let _ = io.readable().await;
                        Err(std::io::ErrorKind::ConnectionReset.into())
                    };
                    future::or(written, ended).await
                }
                Err(error) => Err(error),
            };
            if frames.is_closed() {
                return;
            }
            if let Err(error) = ended {
                let level = if std::mem::replace(&mut reached, false) { Level::Warn } else { Level::Debug };
                log!(level, member = id; "cannot reach member {id} at {at}: {error}");
            }
            // Queued frames would be outdated by the time of the next connection. The node must learn that a snapshot was
            // lost, or it would wait for it.
            while let Ok(frame) = frames.try_recv() {
                if frame.is_snapshot() {
                    let _ = self.inbox.try_send(Inbound::SnapshotSent(id, false));
                }
                add_to_counter(&self.counters.dropped, 1);
            }
            let _ = self.inbox.try_send(Inbound::Unreachable(id));
            Timer::after(RECONNECT_DELAY).await;
        }
    }

    pub(super) async fn accept_peers(self: Rc<Self>, listener: Async<TcpListener>) {
        let mut open: Vec<Task<()>> = Vec::new();
        loop {
            let Some(io) = accept(&listener).await else { continue };
            open.retain(|task| !task.is_finished());
            if open.len() >= MAX_PEER_CONNECTIONS {
                warn!("member connection closed: limit of {MAX_PEER_CONNECTIONS} connections reached");
                continue;
            }
            open.push(self.executor.spawn(Rc::clone(&self).read_messages(io)));
        }
    }

    pub(super) async fn read_messages(self: Rc<Self>, io: Async<TcpStream>) {
        let mut frames = Frames::new(&io, MAX_FRAME);
        loop {
            match frames.next().await {
                Ok(Some((Frame::Peer(message), bytes))) => {
                    add_to_counter(&self.counters.messages_in, 1);
                    add_to_counter(&self.counters.bytes_in, bytes);
                    // Before the node has started there is no log to answer from.
                    if self.live.get() && self.inbox.send(Inbound::Peer(message)).await.is_err() {
                        return;
                    }
                }
                Ok(Some(_)) => {
                    return warn!("member connection closed: received a frame that only clients send")
                }
                Ok(None) => return,
                Err(error) => return debug!("member connection: cannot read: {error}"),
            }
        }
    }
}
