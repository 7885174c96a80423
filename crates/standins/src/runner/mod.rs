//! A stand-in for a customer's backend server: an engine that streams events, or a plain
//! service.

mod runner_server;

pub use runner_server::{RunnerArrival, RunnerKind, RunnerOptions, RunnerServer};
