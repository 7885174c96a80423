//! A TCP link between two processes on which tests can inject faults.

mod fault_link;
mod link_faults;

pub use fault_link::FaultLink;
pub use link_faults::{LinkFaults, LinkMode};
