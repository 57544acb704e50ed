//! Faults in a byte stream, without sockets: where messages end, what a script wants done to which of them, and the
//! pipe that does it. What a pipe does hangs on bytes and messages alone, never on how they came or when.

pub mod frames;
pub mod pipe;
pub mod script;
