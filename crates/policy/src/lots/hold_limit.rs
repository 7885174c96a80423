//! How many lots a daemon holds at once.

/// The lots that a daemon holds at once, and the bytes of their items, which bind first
/// where lots are large.
const MAX_LOTS: usize = 256;
const MAX_BYTES: usize = 32 << 20;

/// What a daemon holds of lots that it runs.
///
/// Items are ranked among the lots that are held. In a flood the first lots are late
/// before they are done, and stay until they are given up; were no others held meanwhile,
/// these would be late too before their turn comes (`tests/start_order.rs`).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldSize {
    /// How many lots, those that are being claimed included.
    pub lots: usize,
    /// The bytes of their items.
    pub bytes: usize,
}

impl HeldSize {
    /// Whether one more may be claimed.
    pub fn has_room(self) -> bool {
        self.lots < MAX_LOTS && self.bytes < MAX_BYTES
    }
}
