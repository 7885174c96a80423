//! At which software streams may go on: what this daemon knows, tells and asks.

use std::{net::SocketAddr, time::Duration};

use comfreyramp_policy::streams::{KeeperCounts, SoftwareKey, StreamKey, StreamOrigin};
use futures::{StreamExt as _, stream::FuturesUnordered};

use super::Node;
use crate::{dialect::Dialect, fleet::request_origin};

/// How long the keepers of a stream may take to answer. A keeper that is lost gives no
/// answer, and the caller should learn soon that its stream can't go on.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a caller may take to take its stream up, after the route's timeout has passed.
const TAKE_UP_TIME: Duration = Duration::from_secs(5);

impl<D: Dialect> Node<D> {
    /// Records the software that began a stream, and tells the stream's keepers. `timeout` is
    /// the longest time that a caller of the stream's route waits.
    pub fn record_origin(&self, stream: StreamKey, software: SoftwareKey, timeout: Duration) {
        let now = self.clock.now();
        let origin = StreamOrigin {
            stream,
            software,
            lifetime: timeout + TAKE_UP_TIME,
        };
        self.origins.borrow_mut().record(origin, now);
        let keepers = self.stream_keepers(stream, KeeperCounts::TOLD);
        self.untold_origins.borrow_mut().push((origin, keepers));
        self.origins_untold.notify_one();
    }

    /// Records the origins that another daemon told.
    pub fn receive_origins(&self, origins: &[StreamOrigin]) {
        let now = self.clock.now();
        let mut known = self.origins.borrow_mut();
        for origin in origins {
            known.record(*origin, now);
        }
    }

    /// Returns the software that began a stream, as far as this daemon was told.
    pub fn known_origin(&self, stream: StreamKey) -> Option<SoftwareKey> {
        self.origins.borrow().find(stream, self.clock.now())
    }

    /// Returns the software that began a stream: what this daemon knows, or the first of the
    /// stream's keepers that answers.
    pub async fn find_origin(&self, stream: StreamKey) -> Option<SoftwareKey> {
        if let Some(software) = self.known_origin(stream) {
            return Some(software);
        }
        let keepers = self.stream_keepers(stream, KeeperCounts::ASKED);
        let asked = keepers.len();
        let asking = keepers
            .into_iter()
            .map(|it| request_origin(&self.peer_client, it, stream, ASK_TIMEOUT));
        let mut answers: FuturesUnordered<_> = asking.collect();
        let mut unknown = 0;
        while let Some(answer) = answers.next().await {
            match answer {
                Ok(Some(software)) => return Some(software),
                Ok(None) => unknown += 1,
                Err(error) => {
                    log::info!(stream = stream.0, error:% = error; "streams: a keeper gave no answer");
                }
            }
        }
        log::info!(stream = stream.0, asked = asked, unknown = unknown; "streams: no keeper knows the version");
        None
    }

    /// Takes the origins that haven't been told yet, by the daemon that is to be told.
    pub fn take_untold_origins(&self) -> Vec<(SocketAddr, Vec<StreamOrigin>)> {
        let untold = std::mem::take(&mut *self.untold_origins.borrow_mut());
        let mut notices: Vec<(SocketAddr, Vec<StreamOrigin>)> = Vec::new();
        for (origin, keepers) in untold {
            for keeper in keepers {
                match notices.binary_search_by_key(&keeper, |it| it.0) {
                    Ok(index) => notices[index].1.push(origin),
                    Err(index) => notices.insert(index, (keeper, vec![origin])),
                }
            }
        }
        notices
    }

    fn stream_keepers(&self, stream: StreamKey, counts: KeeperCounts) -> Vec<SocketAddr> {
        let now = self.clock.now();
        let zone = &self.settings.zone;
        self.members
            .borrow()
            .stream_keepers(stream, counts, zone, now)
    }
}
