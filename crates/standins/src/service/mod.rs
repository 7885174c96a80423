//! A plain HTTP service that counts how often each call runs, for calls that must not be
//! repeated.

mod server;

pub use server::{ServiceOptions, ServiceServer};
