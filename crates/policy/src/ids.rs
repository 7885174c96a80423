//! Small `Copy` indices, so that frequently used tables hold no strings.

use serde::{Deserialize, Serialize};

/// Identifies one run of a daemon's process by a random number drawn at its start.
///
/// A restarted daemon must not treat the claims and trials of its previous process
/// as its own, because it doesn't know how far they got.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

macro_rules! arena_key {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u32);

        impl $name {
            /// Returns the index of this key's entry in its table.
            pub fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}

arena_key! {
    /// Index of a customer in the current settings snapshot.
    CustomerId
}
arena_key! {
    /// Index of a daemon of the fleet in the member table.
    DaemonId
}
arena_key! {
    /// Index of a group of VMs. Each service names the group that serves it.
    GroupId
}
arena_key! {
    /// Index of a backend server in the server table.
    ServerId
}
arena_key! {
    /// Index of a service: a model or a plain service.
    ServiceId
}
arena_key! {
    /// Index of an availability zone.
    ZoneId
}
