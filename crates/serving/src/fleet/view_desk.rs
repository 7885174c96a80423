//! This daemon's views as others are shown them.

use std::io::Read as _;

use bytes::Bytes;
use comfreyramp_policy::{ShowBudget, Timestamp};
use comfreyramp_store::KeyValue;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use super::{StoreView, ViewRevisions, WholeList};
use crate::node::StoreViews;

/// Settings with thousands of routes shrink to a seventh. Stronger compression gains
/// little, and a small VM has a tenth of a core.
const COMPRESSION: i32 = 1;
/// The longest view that is read.
const VIEW_LIMIT: u64 = 16 << 20;

/// A daemon's copy of one prefix, as it shows it to others.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ShownView {
    /// The store's revision that it shows.
    pub(super) revision: i64,
    /// The revision of its last change.
    changed: i64,
    pairs: Vec<ViewPair>,
}

/// A pair of the store, as daemons pass it on.
#[serde_as]
#[derive(Debug, Serialize, Deserialize)]
struct ViewPair {
    key: String,
    #[serde_as(as = "serde_with::Bytes")]
    value: Vec<u8>,
    modified: i64,
    created: i64,
}

/// A view, compressed.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct PackedView(#[serde_as(as = "serde_with::Bytes")] Vec<u8>);

/// The views that the one who asks doesn't have as new.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct ShownViews {
    pub(super) operators: Option<PackedView>,
    pub(super) servers: Option<PackedView>,
    pub(super) members: Option<PackedView>,
    /// Whether one was left out, as it is being sent to others.
    pub(super) is_busy: bool,
}

/// This daemon's views as others are shown them.
///
/// After a change a whole zone asks for the same. To write settings with thousands of
/// routes anew for each of them would take a small VM's processor from its callers.
#[derive(Debug, Default)]
pub struct ViewDesk {
    operators: Option<DeskCopy>,
    servers: Option<DeskCopy>,
    members: Option<DeskCopy>,
    budget: ShowBudget,
}

#[derive(Debug)]
struct DeskCopy {
    revision: i64,
    changed: i64,
    packed: PackedView,
}

impl ViewDesk {
    /// What the views have beyond those that another daemon knows.
    ///
    /// While a fleet restarts the list of daemons changes dozens of times a second. To
    /// send all views each time, with settings of hundreds of customers and routes,
    /// would keep the daemons that watch the store from their callers.
    pub(super) fn show(
        &mut self,
        views: &StoreViews,
        known: ViewRevisions,
        now: Timestamp,
    ) -> Bytes {
        let mut shown = ShownViews::default();
        let budget = &mut self.budget;
        let ViewDesk {
            operators,
            servers,
            members,
            ..
        } = self;
        for (copy, view, known, place) in [
            (members, &views.members, known.members, &mut shown.members),
            (servers, &views.servers, known.servers, &mut shown.servers),
            (
                operators,
                &views.operators,
                known.operators,
                &mut shown.operators,
            ),
        ] {
            if view.changed_revision() <= known {
                continue;
            }
            let packed = DeskCopy::renewed(copy, view);
            match budget.admits(packed.0.len(), now) {
                true => *place = Some(packed.clone()),
                false => shown.is_busy = true,
            }
        }
        // Own types without maps: they can always be written.
        postcard::to_stdvec(&shown).unwrap_or_default().into()
    }
}

impl DeskCopy {
    /// The copy of a view, made anew if the view is another by now.
    fn renewed<'a>(copy: &'a mut Option<DeskCopy>, view: &StoreView) -> &'a PackedView {
        let (revision, changed) = (view.revision(), view.changed_revision());
        let is_same = |it: &DeskCopy| it.revision == revision && it.changed == changed;
        let same = copy.take().filter(is_same);
        let made = same.unwrap_or_else(|| DeskCopy {
            revision,
            changed,
            packed: ShownView::from(view).packed(),
        });
        &copy.insert(made).packed
    }
}

impl From<&StoreView> for ShownView {
    fn from(view: &StoreView) -> Self {
        let pairs = view.pairs().iter().map(|it| ViewPair {
            key: it.key.clone(),
            value: it.value.to_vec(),
            modified: it.modified,
            created: it.created,
        });
        ShownView {
            revision: view.revision(),
            changed: view.changed_revision(),
            pairs: pairs.collect(),
        }
    }
}

impl ShownView {
    fn packed(&self) -> PackedView {
        let plain = postcard::to_stdvec(self).unwrap_or_default();
        match zstd::encode_all(plain.as_slice(), COMPRESSION) {
            Ok(packed) => PackedView(packed),
            Err(error) => {
                log::error!(error:% = error; "peers: a view can't be compressed");
                PackedView(Vec::new())
            }
        }
    }
}

impl From<ShownView> for WholeList {
    fn from(view: ShownView) -> Self {
        let pairs = view.pairs.into_iter().map(|it| KeyValue {
            key: it.key,
            value: it.value.into(),
            modified: it.modified,
            created: it.created,
            version: 0,
        });
        WholeList {
            pairs: pairs.collect(),
            revision: view.revision,
            changed: Some(view.changed),
        }
    }
}

impl PackedView {
    /// Reads the view.
    pub(super) fn unpack(&self) -> anyhow::Result<ShownView> {
        let mut plain = Vec::new();
        let decoder = zstd::stream::read::Decoder::new(self.0.as_slice())?;
        decoder.take(VIEW_LIMIT).read_to_end(&mut plain)?;
        Ok(postcard::from_bytes(&plain)?)
    }
}
