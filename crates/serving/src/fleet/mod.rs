//! A daemon's local copies of the fleet's state (settings, servers, other daemons) and the
//! exchange with the store and with peers that keeps them current.

mod announcer;
mod arrival_clock;
mod contact_desk;
mod fleet_view;
mod follow;
mod known_member;
mod member_list;
mod member_lots;
mod membership;
mod peer_door;
mod peer_message;
mod peer_views;
mod store_probe;
mod store_relay;
mod store_view;
mod view_desk;

pub use announcer::{listen_to_peers, run_announcer, run_prompt_words};
pub use arrival_clock::{ArrivalClock, QUIET_LOOK};
pub use contact_desk::ContactDesk;
pub use fleet_view::{FleetView, KnownCustomer, draw_service};
pub use follow::{FollowNews, FollowedStore, SETTLE_SPAN, follow_store};
pub use member_list::{MemberList, PeerAddresses};
pub use member_lots::RunnerWord;
pub use membership::{HeldLease, MEMBERS, keep_membership};
pub use peer_door::answer_peer;
pub use peer_message::{
    MESSAGE_PADDING, MemberRecord, PeerMessage, SuspectCount, UsageTimes, ViewLags, ViewRevisions,
};
pub use peer_views::follow_peers;
pub use store_probe::probe_store;
pub use store_relay::RelayedStore;
pub use store_view::{StoreView, WholeList};
pub use view_desk::ViewDesk;
