//! Many processes of the program and faults between them: members of a lease group, proxies that do
//! tasks for the fleet, a stand-in that they act on, relays on every link, and the checker of what
//! the stand-in recorded.

pub mod fleet;
pub mod links;
pub mod measure;
pub mod pairs;
pub mod process;
pub mod resource;
pub mod schedule;
