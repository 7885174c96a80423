//! Small in-memory stand-ins for the platform, a model engine and a plain service, for
//! tests.

pub mod engine;
pub mod kv;
pub mod link;
pub mod platform;
pub mod process;
pub mod request_log;
mod response;
pub mod runner;
pub mod service;
