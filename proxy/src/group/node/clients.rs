//! Client connections of a member: reads requests and writes answers.

use super::accept::accept;
use super::{add_to_counter, Inbound, MemberRuntime, HELLO_INTERVAL};
use crate::group::frames::{self, Frames};
use crate::group::with_timeout;
use ::log::debug;
use async_channel::Receiver;
use async_io::Async;
use futures_lite::future;
use notchdoor_coordination::lease::Millis;
use notchdoor_coordination::protocol::{Answer, Request};
use notchdoor_coordination::raft_node::RaftNode;
use notchdoor_coordination::store::DiskStore;
use notchdoor_coordination::wire::{Frame, MAX_CLIENT_FRAME_BYTES};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Open client connections; further ones are closed.
const MAX_CLIENT_CONNECTIONS: usize = 4096;
/// Answers queued for one client; a client that reads too slowly is disconnected.
const MAX_QUEUED_CLIENT_FRAMES: usize = 256;
/// A connection without a request for this time is closed.
const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_secs(120);

impl MemberRuntime {
    pub(super) fn answer(&self, client: u64, req: u64, mut answer: Answer, member: &RaftNode<DiskStore>) {
        if let Answer::Status(status) = &mut answer {
            let f = &self.counters;
            let counters = [
                ("messages_out", &f.messages_out),
                ("bytes_out", &f.bytes_out),
                ("messages_in", &f.messages_in),
                ("bytes_in", &f.bytes_in),
                ("asks", &f.asks),
                ("client_bytes_in", &f.client_bytes_in),
                ("client_bytes_out", &f.client_bytes_out),
                ("dropped", &f.dropped),
            ];
            status.figures = counters.into_iter().map(|(name, n)| (name.to_owned(), n.get())).collect();
            status.figures.insert("syncs".to_owned(), member.store().syncs());
            status.figures.insert("clients".to_owned(), self.clients.borrow().len() as u64);
        }
        self.reply(client, Frame::Answer { req, answer });
    }

    pub(super) fn reply(&self, client: u64, frame: Frame) {
        let mut clients = self.clients.borrow_mut();
        if clients.get(&client).is_some_and(|to| to.try_send(frame).is_err()) {
            // The queue is full. Dropping its sender ends the connection.
            clients.remove(&client);
        }
    }

    pub(super) async fn accept_clients(self: Rc<Self>, listener: Async<TcpListener>) {
        loop {
            let Some(io) = accept(&listener).await else { continue };
            if self.clients.borrow().len() >= MAX_CLIENT_CONNECTIONS {
                debug!("client connection closed: limit of {MAX_CLIENT_CONNECTIONS} connections reached");
                continue;
            }
            let client = self.next_client.get();
            self.next_client.set(client + 1);
            let (sender, answers) = async_channel::bounded(MAX_QUEUED_CLIENT_FRAMES);
            self.clients.borrow_mut().insert(client, sender);
            self.executor.spawn(Rc::clone(&self).serve_client(client, io, answers)).detach();
        }
    }

    pub(super) async fn serve_client(
        self: Rc<Self>,
        client: u64,
        io: Async<TcpStream>,
        answers: Receiver<Frame>,
    ) {
        let written = async {
            let sent = |_: &[Frame], bytes: usize| add_to_counter(&self.counters.client_bytes_out, bytes);
            if let Err(error) = frames::write(&io, &answers, sent).await {
                debug!("client connection: cannot write: {error}");
            }
        };
        future::or(self.read_requests(client, &io), written).await;
        self.clients.borrow_mut().remove(&client);
    }

    pub(super) async fn read_requests(&self, client: u64, io: &Async<TcpStream>) {
        let mut frames = Frames::new(io, MAX_CLIENT_FRAME_BYTES);
        loop {
            match with_timeout(CLIENT_IDLE_TIMEOUT, frames.next()).await {
                Ok(Some((Frame::Ask { req, request }, bytes))) => {
                    add_to_counter(&self.counters.asks, 1);
                    add_to_counter(&self.counters.client_bytes_in, bytes);
                    if request == Request::Hello {
                        let answer = Answer::Hello(self.hello.borrow().clone());
                        self.reply(client, Frame::Answer { req, answer });
                    } else if !self.live.get() {
                        let answer = Answer::Later { retry_after_ms: HELLO_INTERVAL.as_millis() as Millis };
                        self.reply(client, Frame::Answer { req, answer });
                    } else if self.inbox.send(Inbound::Request(client, req, request)).await.is_err() {
                        return;
                    }
                }
                Ok(Some(_)) => {
                    return debug!("client connection closed: received a frame that only members send")
                }
                Ok(None) => return,
                Err(error) => return debug!("client connection: cannot read: {error}"),
            }
        }
    }
}
