//! Daemons that aren't asked for a view for a while.

use std::time::Duration;

use rand::Rng;

use crate::Timestamp;

/// A daemon that gave no answer in time isn't asked again for so long.
const SILENT_SPAN: Duration = Duration::from_millis(2_000);
/// One that shows its view to others just now isn't asked again for a moment, drawn
/// from up to this span: all who were turned away would else come back together.
const BUSY_SPAN: Duration = Duration::from_millis(300);

/// Daemons that aren't asked for a view for a while.
///
/// The only daemon of a zone that is ahead may be heard and yet answer nothing: its
/// process hangs, or its connection is full. Asked again and again, in place of those
/// of other zones, it would leave its zone with old settings for as long as that lasts.
#[derive(Clone, Debug)]
pub struct PassedSources<T> {
    passed: Vec<(T, Timestamp)>,
}

impl<T> Default for PassedSources<T> {
    fn default() -> Self {
        PassedSources { passed: Vec::new() }
    }
}

impl<T: Copy + PartialEq> PassedSources<T> {
    /// Whether a daemon is passed over.
    pub fn is_passed(&self, source: T, now: Timestamp) -> bool {
        self.passed.iter().any(|it| it.0 == source && it.1 > now)
    }

    /// Notes that a daemon gave no answer.
    pub fn note_silent(&mut self, source: T, now: Timestamp) {
        self.pass(source, now + SILENT_SPAN, now);
    }

    /// Notes that a daemon is busy.
    pub fn note_busy(&mut self, source: T, now: Timestamp, random: &mut impl Rng) {
        let span = BUSY_SPAN.mul_f64(random.random_range(0.3..1.0));
        self.pass(source, now + span, now);
    }

    fn pass(&mut self, source: T, until: Timestamp, now: Timestamp) {
        self.passed.retain(|it| it.0 != source && it.1 > now);
        self.passed.push((source, until));
    }
}
