//! Requests, and parts of prompts, at which servers crash.

use std::time::Duration;

use comfreyramp_policy::{
    ServerId,
    parts::{PartKey, ServerRun, trial_rank},
    placement::WorkKind,
    usage::PeerId,
};

use super::Node;
use crate::{
    dialect::Dialect,
    model::{Refusal, RefusalCause},
};

/// A server that has been writing an answer for this long has begun it without a crash: its
/// end is another request's fault, or nobody's.
const BEGIN_TIME: Duration = Duration::from_millis(500);

impl<D: Dialect> Node<D> {
    /// Records that a server broke off while it ran a request.
    pub fn record_crash(&self, fingerprint: u64) {
        let now = self.clock.now();
        self.suspects.borrow_mut().record_crash(fingerprint, now);
    }

    /// Records that a request was answered to its end.
    pub fn clear_suspect(&self, fingerprint: u64) {
        self.suspects.borrow_mut().clear(fingerprint);
    }

    /// Returns whether a server that has been writing an answer for `written_for` may have been
    /// crashed by the request that it answers.
    pub fn may_have_crashed(&self, written_for: Option<Duration>) -> bool {
        written_for.is_none_or(|it| it < BEGIN_TIME)
    }

    /// Whether servers broke off at this request so often that it must not be sent.
    pub fn is_suspect(&self, fingerprint: u64) -> bool {
        self.suspects
            .borrow()
            .is_suspect(fingerprint, self.clock.now())
    }

    /// Records that a server broke off at a request with these parts in its prompt, after it
    /// had been writing the answer for `written_for`, if it had begun.
    pub fn record_broken_run(
        &self,
        request_id: &str,
        parts: &[PartKey],
        server: ServerId,
        written_for: Option<Duration>,
    ) {
        let servers = self.servers.borrow();
        let listing = servers.listing(server);
        log::info!(
            request = request_id, server = listing.name, parts:? = parts,
            written_ms = written_for.map(|it| it.as_millis() as u64);
            "suspects: a server broke off at a request"
        );
        if written_for.is_some_and(|it| it >= BEGIN_TIME) {
            return;
        }
        let run = ServerRun::of(servers.key(server), listing.incarnation);
        let now = self.clock.now();
        let blocked = self.parts.borrow_mut().record_crash(parts, run, now);
        if !blocked.is_empty() {
            log::warn!(request = request_id, parts:? = blocked; "suspects: parts of prompts are blocked");
            self.urgent_report_due.notify_one();
        }
    }

    /// Records that a server has been writing the answer to an item with these parts in its
    /// prompt for `written_for`. Returns whether that is long enough to clear them.
    pub fn record_begun_run(&self, item: &str, parts: &[PartKey], written_for: Duration) -> bool {
        let is_begun = written_for >= BEGIN_TIME;
        if is_begun {
            self.record_finished_run(item, parts);
        }
        is_begun
    }

    /// Records that an answer to a request with these parts in its prompt was written to its
    /// end.
    pub fn record_finished_run(&self, request_id: &str, parts: &[PartKey]) {
        let now = self.clock.now();
        if self.parts.borrow_mut().record_finished(parts, now) {
            log::info!(request = request_id, parts:? = parts; "suspects: a part of a prompt is cleared");
            self.urgent_report_due.notify_one();
        }
    }

    /// Checks whether a request of a kind, with these parts in its prompt, may be sent. An item
    /// of a lot is owed whatever its parts, and waits for its turn to try them.
    ///
    /// # Errors
    ///
    /// Refuses it if one of its parts is suspected of crashing servers and isn't tried now.
    pub fn check_parts(
        &self,
        request_id: &str,
        parts: &[PartKey],
        kind: WorkKind,
    ) -> Result<(), Refusal> {
        let now = self.clock.now();
        let own = PeerId::of_name(&self.settings.name);
        let members = self.members.borrow();
        let mut table = self.parts.borrow_mut();
        let checked = match kind {
            WorkKind::Live => {
                let rank_of = |part| trial_rank(part, own, members.reporting(now));
                table.check(parts, rank_of, now)
            }
            WorkKind::Bulk => {
                let rank_of = |part| trial_rank(part, own, members.reporting_runners(now));
                table.check_owed(parts, rank_of, now)
            }
        };
        if checked == Ok(true) {
            log::warn!(request = request_id, parts:? = parts; "suspects: a blocked part is tried");
            self.urgent_report_due.notify_one();
        }
        checked.map(|_| ()).map_err(|(part, crashes)| {
            log::info!(
                request = request_id, part:? = part, crashes = crashes;
                "suspects: a part of the prompt crashes servers"
            );
            RefusalCause::CrashesServers.into()
        })
    }
}
