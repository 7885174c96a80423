//! A daemon's local copies of the fleet's state (settings, servers, other daemons) and the
//! exchange with the store and with peers that keeps them current.

mod announcer;
mod arrival_clock;
mod fleet_view;
mod follow;
mod known_member;
mod member_list;
mod member_lots;
mod membership;
mod peer_door;
mod peer_message;
mod peer_views;
mod store_monitor;
mod store_probe;
mod store_relay;
mod store_view;
mod stream_notice;
mod view_server;

pub use announcer::{receive_reports, run_announcer, send_origins, send_urgent_reports};
pub use arrival_clock::{ArrivalClock, MAX_QUEUE_CHECK_INTERVAL};
pub use fleet_view::{FleetView, KnownCustomer, choose_service};
pub use follow::{FollowUpdate, FollowedStore, INITIAL_WATCH_DELAY, follow_store};
pub use member_list::{MemberList, PeerAddresses, ServerGroup};
pub use member_lots::RunnerReport;
pub use membership::{HeldLease, MEMBERS, keep_membership};
pub use peer_door::handle_peer_request;
pub use peer_message::{
    MESSAGE_PADDING, MemberRecord, PeerMessage, SuspectCount, UsageTimes, ViewLags, ViewRevisions,
};
pub use peer_views::follow_peers;
pub use store_monitor::StoreMonitor;
pub use store_probe::probe_store;
pub use store_relay::RelayedStore;
pub use store_view::{PrefixSnapshot, StoreView};
pub use stream_notice::request_origin;
pub use view_server::ViewServer;
