//! What a live request records of its course: for logs, metrics and suspicions.

use std::time::Duration;

use comfreyramp_http::{AnswerEnd, AnswerProgress};
use comfreyramp_policy::ServerId;
use http::StatusCode;

use super::{
    live_request::LiveRequest,
    server_probe::{ServerProcess, check_loss},
};
use crate::dialect::Dialect;

impl<D: Dialect> LiveRequest<D> {
    /// Records how a stream from a server ended.
    pub(super) fn record_stream_end(&mut self, mut progress: AnswerProgress, end: AnswerEnd) {
        progress.end = Some(end);
        self.progress = Some(progress);
        let framing = progress.framing.as_str();
        self.node.metrics.stream_end(framing, end.as_str());
    }

    /// Returns for how long the last server has been writing its answer, if it has begun.
    pub(super) fn written_for(&self) -> Option<Duration> {
        let now = self.node.clock.now();
        self.run_began_at.map(|it| now.since(it))
    }

    /// Records that a server broke off while it answered the request, after it had been
    /// writing the answer for `written_for`, if it had begun.
    pub(super) fn record_broken_run(&self, server: ServerId, written_for: Option<Duration>) {
        self.node
            .record_broken_run(&self.request_id, &self.parts, server, written_for);
    }

    /// Records that the answer was written to its end.
    pub(super) fn record_finished_run(&self) {
        self.node.record_finished_run(&self.request_id, &self.parts);
        self.node.clear_suspect(self.fingerprint);
    }

    /// Remembers a server that broke off its answer after it had begun.
    pub(super) fn note_late_break(&mut self, server: ServerId) {
        if self.node.may_have_crashed(self.written_for()) {
            self.late_breaks
                .extend(ServerProcess::of(&self.node, server));
        }
    }

    /// Has the servers probed that broke off their answers, since no other could complete the
    /// answer. Where one could, the request is no crash's cause.
    pub(super) fn check_losses(&mut self) {
        for process in std::mem::take(&mut self.late_breaks) {
            let checking = check_loss(self.node.clone(), process, self.fingerprint);
            tokio::task::spawn_local(checking);
        }
    }

    /// Logs that a stream goes on at the server that was tried last.
    pub(super) fn log_resumption(&self, last_event: Option<u64>) {
        let servers = self.node.servers.borrow();
        let names = |id: &ServerId| {
            let listing = servers.listing(*id);
            (listing.name.clone(), listing.version.clone())
        };
        let tried: Vec<(String, String)> = self.tried_servers.iter().map(names).collect();
        log::info!(
            request = self.request_id, after:? = last_event, tried:? = tried;
            "callers: stream resumed on another server"
        );
    }

    /// Logs the end of the request and records its duration.
    pub(super) fn record_end(&self, outcome: &str, status: StatusCode) {
        let now = self.node.clock.now();
        let span = now.since(self.received_at);
        let first = self
            .first_byte_at
            .map_or(span, |it| it.since(self.received_at));
        self.node.metrics.whole(self.customer_name(), "live", span);
        let progress = self.progress;
        let servers = self.node.servers.borrow();
        let server = self.tried_servers.last().map(|it| servers.listing(*it));
        let resumed = self.resumed.as_ref();
        log::info!(
            request = self.request_id,
            customer = self.customer_name(),
            route = self.route.name,
            server = server.map_or("", |it| &it.name),
            version = server.map_or("", |it| &it.version),
            resumed:? = resumed.and_then(|it| it.first_request.as_deref()),
            after = resumed.map_or("", |it| &it.last_event),
            tried = self.tried_servers.len(),
            status = status.as_u16(),
            live = self.load.live,
            bulk = self.load.bulk,
            first_ms = first.as_millis() as u64,
            span_ms = span.as_millis() as u64,
            framing = progress.map_or("", |it| it.framing.as_str()),
            bytes = progress.map_or(0, |it| it.bytes),
            events = progress.map_or(0, |it| it.events.events()),
            answer_end = progress.and_then(|it| it.end).map_or("", AnswerEnd::as_str);
            "callers: {outcome}"
        );
    }
}
