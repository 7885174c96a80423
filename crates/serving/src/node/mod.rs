//! What all parts of a daemon share. One thread runs everything, so that a part
//! borrows what it needs for a moment and holds nothing across a wait.
//!
//! Here stand what is shared, the settings in force and what is due by time; the
//! modules beneath have what is known of servers (`directory`), of other daemons
//! (`peers`), of lots (`lot_news`) and of the store (`store_health`), and who is
//! let in (`admission`).

mod admission;
mod directory;
mod lot_news;
mod peers;
mod store_health;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use comfreyramp_http::HttpClient;
use comfreyramp_policy::{
    Timestamp,
    placement::{PlacementTable, ServerListing},
    usage::{PeerId, UsageBook},
};
use comfreyramp_store::WatchBatch;
use tokio::sync::Notify;

use self::store_health::StoreHealth;
use crate::{
    clock::BootClock,
    dialect::{Dialect, FleetRecords},
    fleet::{
        ContactDesk, FleetView, HeldLease, MemberList, RelayedStore, StoreView, ViewDesk, ViewLags,
        ViewRevisions, WholeList,
    },
    lots::{LedgerDesk, LotCache, LotNotice, LotNotices, PlacedLot},
    metrics::NodeMetrics,
    path::ConnectionPool,
    settings::NodeSettings,
    suspects::SuspectBook,
};

/// How long a connection to another daemon may take to open.
const PEER_CONNECT: Duration = Duration::from_millis(300);
/// Copies of what the store holds.
#[derive(Debug, Default)]
pub struct StoreViews {
    /// What operators wrote.
    pub operators: StoreView,
    /// The directory of servers.
    pub servers: StoreView,
    /// The daemons.
    pub members: StoreView,
}

impl StoreViews {
    /// The store's revisions at the last change of each.
    pub fn revisions(&self) -> ViewRevisions {
        ViewRevisions {
            operators: self.operators.changed_revision(),
            servers: self.servers.changed_revision(),
            members: self.members.changed_revision(),
        }
    }

    /// The store's revisions up to which each shows all changes. A daemon whose
    /// last change is no newer has nothing to offer, though it may know of a
    /// removal by its revision of which a list shows nothing.
    pub fn complete_up_to(&self) -> ViewRevisions {
        ViewRevisions {
            operators: self.operators.revision(),
            servers: self.servers.revision(),
            members: self.members.revision(),
        }
    }
}

/// Lots that other daemons told of, until the worker takes them.
#[derive(Debug, Default)]
pub struct LotInbox {
    /// Lots that wait for a daemon to run them.
    pub accepted: Vec<String>,
    /// Who is asked to run them.
    pub placed: Vec<PlacedLot>,
    /// Lots that were ended.
    pub ended: Vec<String>,
}

impl LotInbox {
    /// Takes in what this daemon or another one tells of a lot.
    fn take(&mut self, notice: &LotNotice) {
        match notice {
            LotNotice::Accepted(lot) => self.accepted.push(lot.clone()),
            LotNotice::Ended(lot) => self.ended.push(lot.clone()),
        }
    }
}

/// Daemons that don't wait for the next message.
#[derive(Debug, Default)]
struct PromptWords {
    /// Those that have to hear from this one.
    told: Vec<PeerId>,
    /// Those that this one has to hear from.
    asked: Vec<PeerId>,
}

/// What all parts of a daemon share.
#[derive(Debug)]
pub struct Node<D: Dialect> {
    /// Its own settings.
    pub settings: NodeSettings,
    /// Drawn at each start.
    pub incarnation: u64,
    /// Its clock.
    pub clock: BootClock,
    /// The store.
    pub store: RelayedStore<D::Store>,
    /// The client towards other daemons.
    pub peer_client: HttpClient,
    /// What is counted.
    pub metrics: NodeMetrics,
    /// Copies of what the store holds.
    pub views: RefCell<StoreViews>,
    /// The same, as other daemons are shown them.
    pub view_desk: RefCell<ViewDesk>,
    /// The servers, and where requests go.
    pub servers: RefCell<PlacementTable>,
    /// Connections to the servers.
    pub connections: ConnectionPool,
    /// What was read of lots.
    pub lot_cache: RefCell<LotCache>,
    /// The ledgers of tokens that wait, as they were last seen.
    pub ledgers: LedgerDesk,
    /// What is told of lots.
    pub lot_notices: RefCell<LotNotices>,
    /// Told when something changed that other daemons should hear of.
    pub load_changed: Notify,
    /// Told when other daemons have to hear at once of what was let in.
    pub tell_wanted: Notify,
    /// Told when some daemons have to hear from this one at once, or are asked for a word.
    pub prompt_wanted: Notify,
    /// Told when a slot became free, or lots have news.
    pub bulk_wake: Notify,
    /// The items of lots that this daemon has to run still.
    pub held_items: Cell<u32>,
    /// Whether this VM is being emptied.
    pub is_retiring: Cell<bool>,
    /// Whether the daemon is about to stop.
    pub is_stopping: Cell<bool>,
    fleet: RefCell<Option<Rc<FleetView>>>,
    usage: RefCell<UsageBook>,
    suspects: RefCell<SuspectBook>,
    members: RefCell<MemberList>,
    lags: Cell<ViewLags>,
    lease: RefCell<Option<HeldLease>>,
    lot_inbox: RefCell<LotInbox>,
    store_health: Cell<StoreHealth>,
    missing: RefCell<Vec<(ServerListing, Timestamp)>>,
    message_number: Cell<u64>,
    prompt_words: RefCell<PromptWords>,
    words_asked_at: Cell<Option<Timestamp>>,
}

impl<D: Dialect> Node<D> {
    /// A daemon that knows nothing yet.
    pub fn new(settings: NodeSettings, store: D::Store, metrics: NodeMetrics) -> Self {
        let clock = BootClock::default();
        Node {
            incarnation: rand::random(),
            store: RelayedStore::new(store, ContactDesk::new(clock)),
            peer_client: HttpClient::new(PEER_CONNECT),
            metrics,
            views: RefCell::default(),
            view_desk: RefCell::default(),
            servers: RefCell::new(PlacementTable::new(PeerId::of_name(&settings.name))),
            connections: ConnectionPool::default(),
            lot_cache: RefCell::default(),
            ledgers: LedgerDesk::default(),
            lot_notices: RefCell::default(),
            load_changed: Notify::new(),
            tell_wanted: Notify::new(),
            prompt_wanted: Notify::new(),
            bulk_wake: Notify::new(),
            held_items: Cell::new(0),
            is_retiring: Cell::new(false),
            is_stopping: Cell::new(false),
            fleet: RefCell::default(),
            usage: RefCell::new(UsageBook::new(clock.now())),
            suspects: RefCell::default(),
            lags: Cell::default(),
            members: RefCell::new(MemberList::new(&settings.name)),
            lease: RefCell::default(),
            lot_inbox: RefCell::default(),
            store_health: Cell::default(),
            missing: RefCell::default(),
            message_number: Cell::new(0),
            prompt_words: RefCell::default(),
            words_asked_at: Cell::default(),
            settings,
            clock,
        }
    }

    /// The operators' settings in force.
    pub fn fleet(&self) -> Option<Rc<FleetView>> {
        self.fleet.borrow().clone()
    }

    /// Whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        let knows_servers = self.views.borrow().servers.confirmed_at().is_some();
        self.fleet.borrow().is_some() && knows_servers && !self.is_stopping.get()
    }

    /// Takes over a whole list of the operators' keys.
    pub fn take_operators(&self, list: WholeList) {
        let now = self.clock.now();
        if self.views.borrow_mut().operators.reset(list, now) {
            self.put_in_force();
        }
    }

    /// Takes over changes of the operators' keys.
    pub fn change_operators(&self, batch: WatchBatch) {
        let now = self.clock.now();
        if self.views.borrow_mut().operators.apply(batch, now) {
            self.put_in_force();
        }
    }

    /// Puts the newest settings in force, if they are newer than those that are.
    fn put_in_force(&self) {
        let views = self.views.borrow();
        let key = <D::Records as FleetRecords>::SETTINGS;
        let Some(pair) = views.operators.get(key) else {
            return;
        };
        let settings = match <D::Records as FleetRecords>::read_settings(&pair.value) {
            Ok(settings) => settings,
            Err(error) => {
                log::error!(revision = pair.modified, error:% = error; "settings: unusable, the former ones stay in force");
                return;
            }
        };
        let in_force = self.fleet.borrow().as_ref().map(|it| it.settings.version);
        if in_force.is_some_and(|it| it >= settings.version) {
            return;
        }
        log::info!(
            version = settings.version, former = in_force.unwrap_or_default(),
            revision = pair.modified, routes = settings.routes.len(), customers = settings.customers.len();
            "settings: in force"
        );
        self.metrics.view_revision("settings", pair.modified);
        let view = FleetView::new(settings);
        let now = self.clock.now();
        self.usage.borrow_mut().set_limits(&view.limits(), now);
        *self.fleet.borrow_mut() = Some(Rc::new(view));
        self.load_changed.notify_one();
    }

    /// What is due by time.
    pub fn tick(&self) {
        let now = self.clock.now();
        self.usage.borrow_mut().tick(now);
        self.connections.tick(now);
        if self.members.borrow_mut().forget_silent(now) {
            let ids = self.members.borrow().entries();
            self.usage.borrow_mut().set_members(&ids, now);
        }
        self.store.set_peers(self.members.borrow().store_ways(now));
        if self.missing.borrow().iter().any(|it| it.1 <= now) {
            self.use_listings();
        }
        self.show_view_ages();
        self.metrics
            .dropped_lines
            .set(crate::logs::dropped_lines() as i64);
    }
}
