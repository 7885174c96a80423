//! A link between two processes that can be harmed from outside.

mod fault_link;
mod link_faults;

pub use fault_link::FaultLink;
pub use link_faults::{LinkFaults, LinkMode};
