//! The daemons of the fleet, and the assignment of their roles without coordination.
//!
//! [`MemberTable`] combines the VM list, heartbeats and notices of leaving daemons. It
//! derives by rendezvous hashing which daemon is a server's home and which daemons
//! watch the platform for a zone. Daemons may disagree for a moment, so both
//! assignments are designed such that two daemons in the same role only waste work. See
//! `docs/DESIGN.md`.

mod list;
mod member_table;
mod roles;
mod zone_contacts;

pub use list::ListedDaemon;
pub use member_table::{Heartbeat, MemberEntry, MemberEvent, MemberTable};
pub use zone_contacts::ZoneContacts;
