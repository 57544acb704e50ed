//! A member's connections with the other members: one that it dials for what it has to say, and those it hears on.

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

/// Connections of members at the most.
const MAX_PEER_CONNECTIONS: usize = 64;
/// Frames that wait for one member. A member that takes less loses the rest, which raft-rs sends again.
const MAX_QUEUED_PEER_FRAMES: usize = 1024;

impl MemberRuntime {
    /// Hands messages to the members they are for; dials those that are new, lets go of those that left.
    pub(super) fn send(self: &Rc<Self>, messages: Vec<Message>, book: &Membership) {
        let mut peers = self.peers.borrow_mut();
        peers.retain(|id, _| book.members().contains_key(id));
        for message in messages {
            let to = message.to;
            let Some(listed) = book.members().get(&to) else { continue };
            let peer = peers.entry(to).or_insert_with(|| {
                // What the member's own file says goes first: it may lead through a relay.
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

    /// Keeps one connection to a member, for what this one has to say to it.
    pub(super) async fn keep_connected(self: Rc<Self>, id: u64, at: SocketAddr, frames: Receiver<Frame>) {
        let mut reached = true;
        loop {
            let ended = match with_timeout(CONNECT_TIMEOUT, Async::<TcpStream>::connect(at)).await {
                Ok(io) => {
                    let _ = io.get_ref().set_nodelay(true);
                    if !std::mem::replace(&mut reached, true) {
                        info!(member = id; "member {id} reached again");
                    }
                    let sent = |batch: &[Frame], bytes: usize| {
                        add_to_counter(&self.counters.messages_out, batch.len());
                        add_to_counter(&self.counters.bytes_out, bytes);
                        if batch.iter().any(Frame::is_snapshot) {
                            let _ = self.inbox.try_send(Inbound::SnapshotSent(id, true));
                        }
                    };
                    let written = frames::write(&io, &frames, sent);
                    // The other side says nothing on this connection: whatever comes is its end.
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
                log!(level, member = id; "member {id} at {at}: {error}");
            }
            // What waits is old by the time there is a connection; a lost snapshot has to be told.
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
                warn!("a member's connection is closed: {MAX_PEER_CONNECTIONS} are open");
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
                    // A member that is not live yet has no vote and no log to give.
                    if self.live.get() && self.inbox.send(Inbound::Peer(message)).await.is_err() {
                        return;
                    }
                }
                Ok(Some(_)) => return warn!("a member's connection carries a client's frame, closed"),
                Ok(None) => return,
                Err(error) => return debug!("a member's connection: {error}"),
            }
        }
    }
}
