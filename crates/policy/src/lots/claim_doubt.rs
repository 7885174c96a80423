//! Whether a daemon may begin items of a lot whose claim it isn't sure of.

use std::time::Duration;

use crate::Timestamp;

/// A daemon that says nothing for so long was out of touch, or this one was. Words of
/// daemons get lost one by one, but not for such a time. A daemon that does nothing for
/// so long stood still.
const MIN_OUTAGE_SILENCE: Duration = Duration::from_secs(3);

/// Whether a daemon of which there is a sign now was out of touch before. `last_sign` is
/// the one before.
pub fn was_out_of_touch(last_sign: Option<Timestamp>, now: Timestamp) -> bool {
    last_sign.is_some_and(|it| now.since(it) >= MIN_OUTAGE_SILENCE)
}

/// Whether a daemon may begin items of a lot that it runs. `certain_at` is the moment
/// at which its claim certainly held last, `regained_at` the last one at which it heard
/// a daemon that had been out of touch, or went on after a standstill.
///
/// While the store is away for everybody nobody can take a lot over or end it, so items
/// run on though the claim lapses. A daemon that was cut off or stood still can't tell
/// this from a claim that is gone: its customer may have ended the lot long ago, and
/// nobody repeats the end any more. Once it hears others again it learns from the
/// store what holds; until then its servers would go on with what nobody wants.
pub fn may_begin_items(certain_at: Timestamp, regained_at: Option<Timestamp>) -> bool {
    regained_at.is_none_or(|it| it <= certain_at)
}
