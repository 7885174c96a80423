//! Whether a daemon may answer a reader of a lot from its own copy.

use std::time::Duration;

use crate::Timestamp;

/// "There is no result at this position" may be said for so long after it was
/// certain. What one reader was shown, others expect to see within a second; the
/// doubt about a write under way ([`WRITE_DOUBT`]) comes on top, and the way of a
/// daemon's word, which is left 0.4 s.
const EMPTY_PROOF_LIFETIME: Duration = Duration::from_millis(400);
/// The same where the look for more took its time: what it found is how things were
/// when it began.
const DELAYED_PROOF_LIFETIME: Duration = Duration::from_millis(600);
/// Results that are there are shown for so long without a look for further ones: they
/// never change, and the reader comes back for the rest.
const FILLED_PROOF_LIFETIME: Duration = Duration::from_secs(5);
/// A daemon speaks for all results of a lot for so long while a write of its own has
/// no answer. The store may hold more by then than the daemon knows of.
const UNDECIDED_WRITE_LIMIT: Duration = Duration::from_millis(200);

/// What a daemon that runs a lot says of its results.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunnerVouch {
    /// How many results there are.
    pub results: usize,
    /// When this was heard.
    pub heard_at: Timestamp,
}

/// A daemon's copy of a lot's results.
///
/// Results are only appended, by the daemon that holds the claim. So a copy is
/// proved to be complete, as of a moment, by the store or by that daemon while its
/// claim certainly holds; by nothing else. That daemons are heard proves nothing: one
/// that is lost right after a write has told nobody, and in its next life it knows
/// nothing of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyState {
    /// How many results it has.
    pub results: usize,
    /// Whether there will never be more.
    pub is_final: bool,
    /// When it was last proved to have them all.
    pub proved_at: Timestamp,
}

/// What a reader wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReaderPosition {
    /// The first position that it wants.
    pub after: usize,
    /// When it asked.
    pub asked_at: Timestamp,
}

impl CopyState {
    /// Whether the copy has a result for a reader.
    pub fn serves(&self, reader: ReaderPosition) -> bool {
        self.results > reader.after
    }

    /// Whether it has to be looked for further results before a reader is answered.
    pub fn is_doubtful(
        &self,
        reader: ReaderPosition,
        report: Option<RunnerVouch>,
        now: Timestamp,
    ) -> bool {
        if self.is_final {
            return false;
        }
        // A reader that was shown more elsewhere is the proof that the copy is behind.
        if self.is_behind(reader) {
            let is_outdated = self.proved_at < reader.asked_at;
            return is_outdated || now.since(self.proved_at) > EMPTY_PROOF_LIFETIME;
        }
        if self.falls_short(report) {
            return true;
        }
        let proof_lifetime = match self.serves(reader) {
            true => FILLED_PROOF_LIFETIME,
            false => EMPTY_PROOF_LIFETIME,
        };
        now.since(self.last_proved_at(report)) > proof_lifetime
    }

    /// Whether a reader knows of results that the copy lacks.
    pub fn is_behind(&self, reader: ReaderPosition) -> bool {
        !self.is_final && reader.after > self.results
    }

    /// Whether the daemon that runs the lot told of more results. They never go, so that
    /// this is true however old its word is, and whatever a look has brought.
    pub fn falls_short(&self, report: Option<RunnerVouch>) -> bool {
        !self.is_final && report.is_some_and(|it| it.results > self.results)
    }

    /// Whether a reader may be told that there is nothing for it, after a look that
    /// may have taken its time.
    pub fn proves_nothing_there(
        &self,
        reader: ReaderPosition,
        report: Option<RunnerVouch>,
        now: Timestamp,
    ) -> bool {
        let proved_at = match self.is_behind(reader) {
            true => self.proved_at,
            false => self.last_proved_at(report),
        };
        let is_recent = now.since(proved_at) <= DELAYED_PROOF_LIFETIME;
        self.is_final || (is_recent && !self.falls_short(report))
    }

    fn last_proved_at(&self, report: Option<RunnerVouch>) -> Timestamp {
        let matching = report.filter(|it| it.results == self.results);
        let last_reported_at = matching.map_or(Timestamp::ZERO, |it| it.heard_at);
        self.proved_at.max(last_reported_at)
    }
}

/// Whether a daemon that runs a lot under a claim that holds may speak for all of its
/// results. `undecided_since` is the moment at which it began a write that has no
/// answer yet.
pub fn knows_all_results(undecided_since: Option<Timestamp>, now: Timestamp) -> bool {
    undecided_since.is_none_or(|it| now.since(it) <= UNDECIDED_WRITE_LIMIT)
}
