//! Which segment of a lot to claim next.

use rand::Rng;

/// Picks among the free segments of a lot.
///
/// Segments that a lost owner had begun come first, since they are the oldest.
/// Among the rest a random one is taken: daemons that all took the first free
/// one would mostly fail to claim it, each failure costing a platform write.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SegmentChoice {
    started: Vec<usize>,
    unstarted: Vec<usize>,
}

impl SegmentChoice {
    /// Adds a segment that is neither done nor claimed.
    pub fn add(&mut self, segment: usize, is_started: bool) {
        match is_started {
            true => self.started.push(segment),
            false => self.unstarted.push(segment),
        }
    }

    /// The segment to claim, if there is any.
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
