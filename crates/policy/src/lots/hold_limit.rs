//! The limit on the lots that a daemon holds at once.

/// The limits on the lots that a daemon holds at once and on the bytes of their items;
/// the bytes are reached first where lots are large.
const MAX_LOTS: usize = 256;
const MAX_BYTES: usize = 32 << 20;

/// The size of the lots that a daemon holds to run them.
///
/// Items are ranked among the lots that are held. In a burst of lots the first ones are
/// late before they are done, and are held until they are given up. If no others were
/// held meanwhile, those would be late too before their turn comes
/// (`tests/start_order.rs`).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldSize {
    /// How many lots, including those that are being claimed.
    pub lots: usize,
    /// The bytes of their items.
    pub bytes: usize,
}

impl HeldSize {
    /// Returns whether one more lot may be claimed.
    pub fn has_capacity(self) -> bool {
        self.lots < MAX_LOTS && self.bytes < MAX_BYTES
    }
}
