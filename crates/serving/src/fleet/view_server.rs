//! Sends this daemon's views to other daemons.

use std::io::Read as _;

use bytes::Bytes;
use comfreyramp_policy::{SendBudget, Timestamp};
use comfreyramp_store::KeyValue;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use super::{PrefixSnapshot, StoreView, ViewRevisions};
use crate::node::StoreViews;

/// Zstandard level. Settings with thousands of routes shrink to a seventh. A higher level
/// gains little, and a small VM has a tenth of a core.
const COMPRESSION_LEVEL: i32 = 1;
/// Maximum size in bytes of a decompressed view.
const MAX_VIEW_BYTES: u64 = 16 << 20;

/// A daemon's copy of one prefix of the store, as it is sent to other daemons.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct SentView {
    /// The store's revision up to which the copy is complete.
    pub(super) revision: i64,
    /// The revision of the last change in the copy.
    changed: i64,
    pairs: Vec<ViewPair>,
}

/// A key-value pair of the store, as it is sent to other daemons.
#[serde_as]
#[derive(Debug, Serialize, Deserialize)]
struct ViewPair {
    key: String,
    #[serde_as(as = "serde_with::Bytes")]
    value: Vec<u8>,
    modified: i64,
    created: i64,
}

/// A compressed [`SentView`].
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct PackedView(#[serde_as(as = "serde_with::Bytes")] Vec<u8>);

/// The views that are newer than those of the requesting daemon.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct SentViews {
    pub(super) operators: Option<PackedView>,
    pub(super) servers: Option<PackedView>,
    pub(super) members: Option<PackedView>,
    /// Whether a view was left out because it is being sent to other daemons.
    pub(super) is_busy: bool,
}

/// Encodes this daemon's views for other daemons, and keeps the encoded copies.
///
/// After a change a whole zone requests the same views. Encoding settings with thousands of
/// routes for each request would take a small VM's CPU time from its callers.
#[derive(Debug, Default)]
pub struct ViewServer {
    operators: Option<CachedView>,
    servers: Option<CachedView>,
    members: Option<CachedView>,
    budget: SendBudget,
}

#[derive(Debug)]
struct CachedView {
    revision: i64,
    changed: i64,
    packed: PackedView,
}

impl ViewServer {
    /// Returns, encoded, the views that are newer than the revisions `known` of another
    /// daemon, as far as the budget admits them.
    ///
    /// While a fleet restarts, the list of daemons changes dozens of times a second. If all
    /// views were sent each time, with settings of hundreds of customers and routes, the
    /// daemons that watch the store would have no time left for their callers.
    pub(super) fn encode_newer(
        &mut self,
        views: &StoreViews,
        known: ViewRevisions,
        now: Timestamp,
    ) -> Bytes {
        let mut sent = SentViews::default();
        let budget = &mut self.budget;
        let ViewServer {
            operators,
            servers,
            members,
            ..
        } = self;
        for (copy, view, known, slot) in [
            (members, &views.members, known.members, &mut sent.members),
            (servers, &views.servers, known.servers, &mut sent.servers),
            (
                operators,
                &views.operators,
                known.operators,
                &mut sent.operators,
            ),
        ] {
            if view.changed_revision() <= known {
                continue;
            }
            let packed = CachedView::refreshed(copy, view);
            match budget.admits(packed.0.len(), now) {
                true => *slot = Some(packed.clone()),
                false => sent.is_busy = true,
            }
        }
        // Encoding can't fail: these are own types without maps.
        postcard::to_stdvec(&sent).unwrap_or_default().into()
    }
}

impl CachedView {
    /// Returns the encoded copy of a view, and encodes it again if the view has changed.
    fn refreshed<'a>(copy: &'a mut Option<CachedView>, view: &StoreView) -> &'a PackedView {
        let (revision, changed) = (view.revision(), view.changed_revision());
        let is_same = |it: &CachedView| it.revision == revision && it.changed == changed;
        let same = copy.take().filter(is_same);
        let current = same.unwrap_or_else(|| CachedView {
            revision,
            changed,
            packed: SentView::from(view).pack(),
        });
        &copy.insert(current).packed
    }
}

impl From<&StoreView> for SentView {
    fn from(view: &StoreView) -> Self {
        let pairs = view.pairs().iter().map(|it| ViewPair {
            key: it.key.clone(),
            value: it.value.to_vec(),
            modified: it.modified,
            created: it.created,
        });
        SentView {
            revision: view.revision(),
            changed: view.changed_revision(),
            pairs: pairs.collect(),
        }
    }
}

impl SentView {
    fn pack(&self) -> PackedView {
        let plain = postcard::to_stdvec(self).unwrap_or_default();
        match zstd::encode_all(plain.as_slice(), COMPRESSION_LEVEL) {
            Ok(packed) => PackedView(packed),
            Err(error) => {
                log::error!(error:% = error; "peers: failed to compress a view");
                PackedView(Vec::new())
            }
        }
    }
}

impl From<SentView> for PrefixSnapshot {
    fn from(view: SentView) -> Self {
        let pairs = view.pairs.into_iter().map(|it| KeyValue {
            key: it.key,
            value: it.value.into(),
            modified: it.modified,
            created: it.created,
            version: 0,
        });
        PrefixSnapshot {
            pairs: pairs.collect(),
            revision: view.revision,
            changed: Some(view.changed),
        }
    }
}

impl PackedView {
    /// Decompresses and decodes the view. Returns an error if the data isn't a valid view.
    pub(super) fn unpack(&self) -> anyhow::Result<SentView> {
        let mut plain = Vec::new();
        let decoder = zstd::stream::read::Decoder::new(self.0.as_slice())?;
        decoder.take(MAX_VIEW_BYTES).read_to_end(&mut plain)?;
        Ok(postcard::from_bytes(&plain)?)
    }
}
