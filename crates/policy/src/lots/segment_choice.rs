//! The choice of the segment of a lot to claim next.

use rand::Rng;

/// Picks among the free segments of a lot.
///
/// Segments that a lost owner had started come first, since they are the oldest. Among
/// the others a random one is picked: if all daemons picked the first free one, most of
/// them would fail to claim it, and each failure costs a write to the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SegmentChoice {
    started: Vec<usize>,
    unstarted: Vec<usize>,
}

impl SegmentChoice {
    /// Adds a segment that is neither done nor claimed. `is_started` says whether a
    /// lost owner had started it.
    pub fn add(&mut self, segment: usize, is_started: bool) {
        match is_started {
            true => self.started.push(segment),
            false => self.unstarted.push(segment),
        }
    }

    /// Returns the segment to claim, if there is any.
    pub fn pick(&self, random: &mut impl Rng) -> Option<usize> {
        let candidates = match self.started.is_empty() {
            true => &self.unstarted,
            false => &self.started,
        };
        match candidates.len() {
            0 => None,
            len => Some(candidates[random.random_range(0..len)]),
        }
    }
}
