//! At which software a caller's stream goes on.

use comfreyramp_policy::{
    ServerId,
    streams::{SoftwareKey, StreamKey},
};

use super::live_request::{LiveRequest, UNAVAILABLE_RETRY_AFTER};
use crate::{
    dialect::Dialect,
    model::{Refusal, RefusalCause, RouteKind},
};

impl<D: Dialect> LiveRequest<D> {
    pub(super) fn is_resumable(&self) -> bool {
        self.route.kind == RouteKind::Stream { resumable: true }
    }

    /// Returns the key of the stream: that of the request that received its first event.
    fn stream_key(&self) -> StreamKey {
        let resumed = self.resumed.as_ref();
        let first = resumed.and_then(|it| it.first_request.as_deref());
        StreamKey::of(self.customer_name(), first.unwrap_or(&self.request_id))
    }

    /// Returns the software that began the stream that the caller takes up, if it takes up
    /// one. A caller that doesn't name the request that began the stream is served while only
    /// one version is in use.
    ///
    /// # Errors
    ///
    /// Refuses a stream of which no daemon knows the software.
    pub(super) async fn find_origin(&self) -> Result<Option<SoftwareKey>, Refusal> {
        let Some(resumed) = &self.resumed else {
            return Ok(None);
        };
        let found = match resumed.first_request {
            Some(_) => self.node.find_origin(self.stream_key()).await,
            None if self.has_single_version() => {
                self.node.metrics.stream_taken_up("single_version");
                return Ok(None);
            }
            None => None,
        };
        let metrics = &self.node.metrics;
        metrics.stream_taken_up(if found.is_some() { "known" } else { "unknown" });
        let refusal = Refusal::new(RefusalCause::UnknownOrigin);
        found
            .map(Some)
            .ok_or(refusal.retry_after(UNAVAILABLE_RETRY_AFTER))
    }

    /// Returns whether each service of the route has had servers of one version only.
    fn has_single_version(&self) -> bool {
        let now = self.node.clock.now();
        let servers = self.node.servers.borrow();
        let mut services = self.route.services.iter();
        services.all(|it| servers.has_single_version(&it.service, now))
    }

    /// Records that the caller gets an event from a server: from now on, only the server's
    /// software may go on with the stream.
    pub(super) fn note_event_passed(&mut self, server: ServerId) {
        if self.has_told_origin {
            return;
        }
        self.has_told_origin = true;
        let listed = self.node.servers.borrow().software(server);
        let software = *self.software.get_or_insert(listed);
        self.node
            .record_origin(self.stream_key(), software, self.route.timeout);
    }

    /// Returns whether the stream can go on after the event `last_event`, the last one that
    /// was passed on.
    pub(super) fn knows_position(&self, last_event: Option<u64>) -> bool {
        !self.has_told_origin || last_event.is_some()
    }

    /// Returns the run of a server that has to be confirmed before the request is sent:
    /// where the stream goes on, and where it begins at a server that may have restarted.
    pub(super) fn run_to_confirm(&self, server: ServerId) -> Option<u64> {
        let servers = self.node.servers.borrow();
        let is_doubted = self.is_resumable() && servers.may_have_restarted(server);
        let run = servers.listing(server).incarnation;
        let goes_on = self.software.is_some() || self.resumed.is_some();
        // A directory without runs can't tell them apart.
        (run > 0 && (goes_on || is_doubted)).then_some(run)
    }
}
