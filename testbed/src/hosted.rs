//! A relay on a thread of its own, for hosts that are not asynchronous.

use crate::relay::Relay;
use crate::wire::script::{Link, Script};
use async_channel::Sender;
use async_executor::LocalExecutor;
use futures_lite::future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc;
use std::thread::JoinHandle;

type Order = Box<dyn FnOnce(&Relay) + Send>;

/// Orders that may wait for the thread.
const MOST_ORDERS: usize = 64;

/// A relay and its thread, which ends when this is dropped.
pub struct Hosted {
    address: SocketAddr,
    orders: Sender<Order>,
    thread: Option<JoinHandle<()>>,
}

impl Hosted {
    /// Starts a relay: see [`Relay::start`].
    pub fn start(link: Link, target: SocketAddr, script: Script, seed: u64) -> io::Result<Hosted> {
        let (told, started) = mpsc::channel();
        let (orders, taken) = async_channel::bounded::<Order>(MOST_ORDERS);
        let thread = std::thread::spawn(move || {
            let executor = Rc::new(LocalExecutor::new());
            let relay = match Relay::start(&executor, link, target, script, seed) {
                Ok(relay) => relay,
                Err(e) => return drop(told.send(Err(e))),
            };
            // Whoever started it is gone already, if this is not taken.
            let _ = told.send(Ok(relay.address()));
            future::block_on(executor.run(async {
                while let Ok(order) = taken.recv().await {
                    order(&relay);
                }
            }));
        });
        let gone = || io::Error::other("the relay's thread ended");
        let address = started.recv().map_err(|_| gone())??;
        Ok(Hosted { address, orders, thread: Some(thread) })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Has the relay's thread do something with it, and waits for what comes of it; `None` if the thread is gone.
    pub fn with<T: Send + 'static>(&self, order: impl FnOnce(&Relay) -> T + Send + 'static) -> Option<T> {
        let (done, came) = mpsc::channel();
        let order: Order = Box::new(move |relay| drop(done.send(order(relay))));
        self.orders.send_blocking(order).ok()?;
        came.recv().ok()
    }
}

impl Drop for Hosted {
    fn drop(&mut self) {
        self.orders.close();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
