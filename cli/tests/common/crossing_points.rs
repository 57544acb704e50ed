//! The scenarios, events and points of the plays at socket calls, and the classes of their requests.

use super::records::{Class, Effect};
use std::time::Duration;

pub const READ: Class =
    Class { name: "read", effect: Effect::Idempotent, deadline: Duration::from_millis(1000) };
pub const FIX: Class =
    Class { name: "fix", effect: Effect::Deduplicated, deadline: Duration::from_millis(1000) };
pub const CLOSE: Class =
    Class { name: "close", effect: Effect::AtMostOnce, deadline: Duration::from_millis(600) };

/// What a client does, and what happens to the program, without an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Scenario {
    /// Two reads that a cache has, one after the other.
    Hits,
    /// A read that the cache lacks.
    Miss,
    /// A write that runs at most once, and a keyed one.
    Writes,
    /// A read of a large value.
    LargeValue,
    /// A read, a rest, and SIGTERM.
    StopAtRest,
    /// A read is under way over SIGTERM.
    StopUnderWay,
    /// Half of a command has come when no more commands are read.
    StopWithin,
    /// A client that sends nothing is closed.
    Silent,
    /// A client with one command is closed for lack of descriptors.
    Crowded,
}

impl Scenario {
    pub const ALL: [Scenario; 9] = [
        Scenario::Hits,
        Scenario::Miss,
        Scenario::Writes,
        Scenario::LargeValue,
        Scenario::StopAtRest,
        Scenario::StopUnderWay,
        Scenario::StopWithin,
        Scenario::Silent,
        Scenario::Crowded,
    ];
}

/// What happens at a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Event {
    /// The client sends a command.
    Command,
    /// The client sends half a command, and the rest later.
    HalfCommand,
    /// The client closes its connection.
    ClientCloses,
    /// The client resets its connection.
    ClientResets,
    /// The client closes its connection, and the program is held up.
    ClientClosesInPause,
    /// The server of the connection sends bytes that belong to nothing.
    ServerSends,
    /// The server sends half a reply.
    ServerSendsHalf,
    /// The server closes the connection.
    ServerCloses,
    /// The server resets the connection.
    ServerResets,
    Term,
    Hup,
    /// Discovery says that the cache drains.
    Drain,
    /// Discovery says that the cache has started anew.
    NewProcess,
    /// The program is held up.
    Pause,
    /// The call is interrupted.
    Interrupted,
    /// The call would block.
    WouldBlock,
    /// The call fails for lack of memory.
    NoMemory,
}

impl Event {
    pub const ALL: [Event; 17] = [
        Event::Command,
        Event::HalfCommand,
        Event::ClientCloses,
        Event::ClientResets,
        Event::ClientClosesInPause,
        Event::ServerSends,
        Event::ServerSendsHalf,
        Event::ServerCloses,
        Event::ServerResets,
        Event::Term,
        Event::Hup,
        Event::Drain,
        Event::NewProcess,
        Event::Pause,
        Event::Interrupted,
        Event::WouldBlock,
        Event::NoMemory,
    ];

    /// Why it cannot happen at this point, if so.
    pub fn impossible_at(self, point: &Point) -> Option<&'static str> {
        let is_server = point.peer == "server";
        let blocks = matches!(point.call.as_str(), "read" | "write" | "accept");
        match self {
            Event::ServerSends | Event::ServerSendsHalf | Event::ServerCloses | Event::ServerResets
                if !is_server =>
            {
                Some("no server has a part in it")
            }
            Event::ServerSends | Event::ServerSendsHalf | Event::ServerCloses | Event::ServerResets
                if point.call == "connect" =>
            {
                Some("the connection is not up")
            }
            Event::Interrupted | Event::WouldBlock | Event::NoMemory if point.is_after => {
                Some("the call was made")
            }
            Event::Interrupted | Event::NoMemory if point.call == "close" => {
                Some("a close has no result that matters")
            }
            Event::WouldBlock if !blocks => Some("the call does not wait"),
            Event::Interrupted if matches!(point.call.as_str(), "connect" | "shutdown") => {
                Some("the call does not wait")
            }
            _ => None,
        }
    }
}

/// A place in a run: the n-th time that this call is made.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Point {
    pub peer: String,
    pub call: String,
    pub is_after: bool,
    pub nth: usize,
}
