//! Whether a daemon may begin items of a lot whose claim it isn't sure to hold.

use std::time::Duration;

use crate::Timestamp;

/// Silence of this length means that a daemon, or this one, was out of contact: single
/// reports get lost, but not all of them for that long. A daemon that does nothing for that
/// long was suspended.
const MIN_OUTAGE_SILENCE: Duration = Duration::from_secs(3);

/// Returns whether a daemon from which a message arrives now was out of contact before.
/// `last_message_at` is the time of its previous message.
pub fn was_out_of_contact(last_message_at: Option<Timestamp>, now: Timestamp) -> bool {
    last_message_at.is_some_and(|it| now.since(it) >= MIN_OUTAGE_SILENCE)
}

/// Returns whether a daemon may begin items of a lot that it runs. `certain_at` is the
/// last time at which its claim certainly held. `last_reconnected_at` is the last time at
/// which it received a report from a daemon that had been out of contact, or resumed
/// after a suspension.
///
/// While the store is unavailable to everyone, no daemon can take a lot over or end it,
/// so items run on although the claim expires. A daemon that was cut off or suspended
/// can't tell this from a lost claim: its customer may have ended the lot long ago, and
/// that end isn't repeated. Once it receives reports again, it learns from the store
/// which claims hold; until then its servers would run items that are no longer wanted.
pub fn may_begin_items(certain_at: Timestamp, last_reconnected_at: Option<Timestamp>) -> bool {
    last_reconnected_at.is_none_or(|it| it <= certain_at)
}
