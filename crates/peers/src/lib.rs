//! Messages between daemons over Cap'n Proto RPC.
//!
//! [`PeerLink`] sends requests to other daemons and can be used from any thread.
//! The RPC system isn't `Send`, so it runs on a thread of its own, together with
//! the server for incoming connections, which passes each request to a
//! [`PeerHandler`]. Connections are opened on first use and closed when idle. See
//! `docs/PEERS.md`.

mod codec;
mod connection_pool;
mod generated;
mod link_thread;
mod messages;
mod metered_stream;
mod peer_error;
mod peer_handler;
mod peer_link;
mod peer_server;

pub use messages::{
    LiveAnnouncement, PeerAnswer, PeerHeartbeat, PeerRequest, SettingsAnswer, SettingsPair,
    SettingsRequest,
};
pub use metered_stream::PeerTraffic;
pub use peer_error::PeerError;
pub use peer_handler::PeerHandler;
pub use peer_link::{LinkTiming, PeerLink};
