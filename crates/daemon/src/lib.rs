//! The entry daemon: HTTP servers for callers and operators, and what they depend on.
//!
//! The modules, in the order in which a live request passes through them:
//!
//! 1. [`callers`] authenticates the key, reads the request and answers it.
//! 2. [`snapshot`] holds the operators' settings, indexed for the request path.
//! 3. [`admission`] applies the customer's rate. [`rates`] holds this daemon's
//!    share of it and borrows from other daemons.
//! 4. [`claims`] records a call that must not run twice, before it is sent.
//! 5. [`live_queue`] queues the request while the servers are full, and
//!    [`suspects`] while it is suspected of crashing them.
//! 6. [`server_pool`] picks the backend server, and [`announcer`] notifies the
//!    server's home daemon, so that bulk work frees capacity.
//! 7. [`event_stream`] classifies the events of the answer, and [`attempts`]
//!    decides whether to retry when the answer breaks off.
//! 8. [`traces`] records the request's steps, and [`metrics`] counts it.
//!
//! `comfreyramp-lots` stores lots (batch jobs). [`lot_work`] runs their items,
//! within the bulk limits of the servers whose home is this daemon.
//!
//! Background tasks run under one [`supervisor`]: [`settings_link`] and
//! [`settings_manager`] fetch and publish the settings, and [`platform_link`]
//! polls the VM list. [`operators`] serves the operators' tool. [`EntryDaemon`]
//! starts and stops all of them, and [`shared`] is the state that they share.
//! The decision logic itself, without I/O, is in `comfreyramp-policy`.

pub mod admission;
pub mod announcer;
pub mod attempts;
pub mod callers;
pub mod claims;
pub mod clock;
pub mod event_stream;
pub mod live_queue;
pub mod logs;
pub mod lot_work;
pub mod metrics;
pub mod operators;
pub mod platform_link;
pub mod rates;
pub mod server_pool;
pub mod settings_link;
pub mod settings_manager;
pub mod shared;
pub mod snapshot;
pub mod supervisor;
pub mod suspects;
pub mod traces;

mod record_lease;
mod run;

pub use run::{BoundAddresses, EntryDaemon};
