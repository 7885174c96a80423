//! Fleet-wide rate limits of customers, as applied by this daemon.
//!
//! A zone's roster lists its daemons and which of them holds each slot, a fixed
//! part of every customer's rate. [`RateLimiter`] admits requests by a
//! [`ShareLedger`], which it holds under a short lock. Three tasks run beside it:
//! [`run_rosters`] keeps the rosters in step with the platform,
//! [`run_ledger`] ticks the ledger, and [`send_messages`] sends the ledger's
//! messages to other daemons. [`PeerRequestHandler`] answers requests of other
//! daemons.
//!
//! See `docs/RATES.md`.
//!
//! [`ShareLedger`]: comfreyramp_policy::rates::ShareLedger

mod limiter_state;
mod peer_request_handler;
mod rate_limiter;
mod roster_sync;
mod roster_view;
mod settings_peers;

pub use limiter_state::KnownDaemon;
pub use peer_request_handler::PeerRequestHandler;
pub use rate_limiter::{RateLimiter, run_ledger, send_messages};
pub use roster_sync::{leave_roster, run_rosters};
pub use roster_view::RosterView;
pub use settings_peers::SettingsPeers;
