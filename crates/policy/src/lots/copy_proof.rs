//! When a daemon may answer a reader of a lot's results from its own copy.

use std::time::Duration;

use crate::Timestamp;

/// How long after the copy was proved complete a reader may be told that there is no
/// result at a position. Results that one reader was sent are expected to be visible to
/// others within a second. That second also covers an undecided write
/// ([`UNDECIDED_WRITE_LIMIT`]) and the delivery of a daemon's report, for which 0.4 s
/// are left.
const EMPTY_PROOF_LIFETIME: Duration = Duration::from_millis(400);
/// The same after a query for more results that took its time: its answer describes the
/// state at the time when it began.
const DELAYED_PROOF_LIFETIME: Duration = Duration::from_millis(600);
/// How long existing results are sent without a query for further ones: results never
/// change, and the reader comes back for the rest.
const FILLED_PROOF_LIFETIME: Duration = Duration::from_secs(5);
/// How long a daemon whose own write has no answer yet may still confirm that it knows
/// all results of a lot. After that the store may hold more than the daemon knows of.
const UNDECIDED_WRITE_LIMIT: Duration = Duration::from_millis(200);

/// What the daemon that runs a lot reports of its results.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunnerConfirmation {
    /// How many results there are.
    pub results: usize,
    /// When this report arrived.
    pub last_received_at: Timestamp,
}

/// A daemon's copy of a lot's results.
///
/// Results are only appended, by the daemon that holds the claim. So only the store, or
/// that daemon while its claim certainly holds, can prove that a copy was complete at
/// some time. Reports from the other daemons prove nothing: a daemon that is lost right
/// after a write has notified none of them, and its next incarnation knows nothing of that
/// write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyState {
    /// How many results it has.
    pub results: usize,
    /// Whether there will never be more.
    pub is_final: bool,
    /// When it was last proved to be complete.
    pub proved_at: Timestamp,
}

/// What a reader requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReaderPosition {
    /// The first position that it wants.
    pub after: usize,
    /// When it sent the request.
    pub requested_at: Timestamp,
}

impl CopyState {
    /// Returns whether the copy has a result for a reader.
    pub fn serves(&self, reader: ReaderPosition) -> bool {
        self.results > reader.after
    }

    /// Returns whether the store or the runner has to be queried for further results
    /// before a reader is answered.
    pub fn needs_refresh(
        &self,
        reader: ReaderPosition,
        report: Option<RunnerConfirmation>,
        now: Timestamp,
    ) -> bool {
        if self.is_final {
            return false;
        }
        // The reader was sent more results elsewhere, which proves that the copy is
        // incomplete.
        if self.is_behind(reader) {
            let is_outdated = self.proved_at < reader.requested_at;
            return is_outdated || now.since(self.proved_at) > EMPTY_PROOF_LIFETIME;
        }
        if self.lacks_reported_results(report) {
            return true;
        }
        let proof_lifetime = match self.serves(reader) {
            true => FILLED_PROOF_LIFETIME,
            false => EMPTY_PROOF_LIFETIME,
        };
        now.since(self.last_proved_at(report)) > proof_lifetime
    }

    /// Returns whether a reader knows of results that the copy lacks.
    pub fn is_behind(&self, reader: ReaderPosition) -> bool {
        !self.is_final && reader.after > self.results
    }

    /// Returns whether the daemon that runs the lot reported more results than the copy
    /// has. Results are never removed, so this holds however old the report is, and
    /// whatever a query has returned.
    pub fn lacks_reported_results(&self, report: Option<RunnerConfirmation>) -> bool {
        !self.is_final && report.is_some_and(|it| it.results > self.results)
    }

    /// Returns whether a reader may be told that there are no results for it, after a
    /// query that may have taken its time.
    pub fn proves_no_results(
        &self,
        reader: ReaderPosition,
        report: Option<RunnerConfirmation>,
        now: Timestamp,
    ) -> bool {
        let proved_at = match self.is_behind(reader) {
            true => self.proved_at,
            false => self.last_proved_at(report),
        };
        let is_recent = now.since(proved_at) <= DELAYED_PROOF_LIFETIME;
        self.is_final || (is_recent && !self.lacks_reported_results(report))
    }

    fn last_proved_at(&self, report: Option<RunnerConfirmation>) -> Timestamp {
        let matching = report.filter(|it| it.results == self.results);
        let last_reported_at = matching.map_or(Timestamp::ZERO, |it| it.last_received_at);
        self.proved_at.max(last_reported_at)
    }
}

/// Returns whether a daemon that runs a lot under a valid claim may confirm that it
/// knows all of its results. `unanswered_since` is the time at which it began a write
/// that has no answer yet.
pub fn knows_all_results(unanswered_since: Option<Timestamp>, now: Timestamp) -> bool {
    unanswered_since.is_none_or(|it| now.since(it) <= UNDECIDED_WRITE_LIMIT)
}
