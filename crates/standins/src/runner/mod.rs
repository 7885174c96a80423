//! A stand-in for a backend server of the users' platform: an engine that streams
//! events, or a plain service.

mod runner_server;

pub use runner_server::{RunnerArrival, RunnerKind, RunnerOptions, RunnerServer};
