//! What all parts of a daemon share. One thread runs everything, so that a part
//! borrows what it needs for a moment and holds nothing across a wait.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use comfreyramp_http::HttpClient;
use comfreyramp_policy::{
    ServerId, Timestamp,
    placement::{PlacementTable, ServerListing},
    usage::{PeerId, UsageBook},
};
use comfreyramp_store::{KeyValue, Revision, WatchBatch};
use tokio::sync::Notify;

use crate::{
    clock::BootClock,
    dialect::{Dialect, FleetRecords},
    fleet::{
        FleetView, HeldLease, KnownCustomer, MemberList, MemberRecord, PeerAddresses, PeerMessage,
        RelayedStore, StoreView, ViewRevisions,
    },
    lots::{LotCache, LotNotice, LotNotices},
    metrics::NodeMetrics,
    model::{Refusal, RefusalCause, RetireOrder},
    path::ConnectionPool,
    settings::NodeSettings,
    suspects::SuspectBook,
};

/// Entries that are missing after the store was away are held on to until so long
/// after its return: servers that live write theirs again within two seconds.
const RETURN_SPAN: Duration = Duration::from_millis(2_500);
/// Entries that vanish together, without a sign that the store was away, are held
/// on to for so long. It is less than the span for which a server that leaves
/// still answers.
const MASS_SPAN: Duration = Duration::from_millis(1_500);
/// How long a connection to another daemon may take to open.
const PEER_CONNECT: Duration = Duration::from_millis(300);
/// Calls that fail for less than this are no outage: entries don't lapse by it.
const LEAST_OUTAGE: Duration = Duration::from_millis(1_800);

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

/// Whether the store answers.
#[derive(Clone, Copy, Debug, Default)]
struct StoreHealth {
    failing_since: Option<Timestamp>,
    /// When it answered again after an outage.
    returned_at: Option<Timestamp>,
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
    /// Lots that were ended.
    pub ended: Vec<String>,
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
    /// The servers, and where requests go.
    pub servers: RefCell<PlacementTable>,
    /// Connections to the servers.
    pub connections: ConnectionPool,
    /// What was read of lots.
    pub lot_cache: RefCell<LotCache>,
    /// What is told of lots.
    pub lot_notices: RefCell<LotNotices>,
    /// Told when something changed that other daemons should hear of.
    pub load_changed: Notify,
    /// Told when other daemons have to hear at once of what was let in.
    pub tell_wanted: Notify,
    /// Told when items of other daemons have to step aside.
    pub yield_wanted: Notify,
    /// Told when a slot became free, or lots have news.
    pub bulk_wake: Notify,
    /// Whether this VM is being emptied.
    pub is_retiring: Cell<bool>,
    /// Whether the daemon is about to stop.
    pub is_stopping: Cell<bool>,
    fleet: RefCell<Option<Rc<FleetView>>>,
    usage: RefCell<UsageBook>,
    suspects: RefCell<SuspectBook>,
    members: RefCell<MemberList>,
    lease: RefCell<Option<HeldLease>>,
    lot_inbox: RefCell<LotInbox>,
    store_health: Cell<StoreHealth>,
    missing: RefCell<Vec<(ServerListing, Timestamp)>>,
    message_number: Cell<u64>,
    yield_asks: RefCell<Vec<PeerId>>,
}

impl<D: Dialect> Node<D> {
    /// A daemon that knows nothing yet.
    pub fn new(settings: NodeSettings, store: D::Store, metrics: NodeMetrics) -> Self {
        let clock = BootClock::default();
        Node {
            incarnation: rand::random(),
            store: RelayedStore::new(store),
            peer_client: HttpClient::new(PEER_CONNECT),
            metrics,
            views: RefCell::default(),
            servers: RefCell::new(PlacementTable::new(PeerId::of_name(&settings.name))),
            connections: ConnectionPool::default(),
            lot_cache: RefCell::default(),
            lot_notices: RefCell::default(),
            load_changed: Notify::new(),
            tell_wanted: Notify::new(),
            yield_wanted: Notify::new(),
            bulk_wake: Notify::new(),
            is_retiring: Cell::new(false),
            is_stopping: Cell::new(false),
            fleet: RefCell::default(),
            usage: RefCell::new(UsageBook::new(clock.now())),
            suspects: RefCell::default(),
            members: RefCell::new(MemberList::new(&settings.name)),
            lease: RefCell::default(),
            lot_inbox: RefCell::default(),
            store_health: Cell::default(),
            missing: RefCell::default(),
            message_number: Cell::new(0),
            yield_asks: RefCell::default(),
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
    pub fn take_operators(&self, pairs: Vec<KeyValue>, revision: Revision) {
        let now = self.clock.now();
        if self
            .views
            .borrow_mut()
            .operators
            .reset(pairs, revision, now)
        {
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

    /// Takes over a whole list of servers.
    pub fn take_servers(&self, pairs: Vec<KeyValue>, revision: Revision) {
        let now = self.clock.now();
        let before = self.listings();
        if self.views.borrow_mut().servers.reset(pairs, revision, now) {
            self.hold_missing(&before, 0, now);
            self.use_listings();
        }
    }

    /// Takes over changes of servers.
    pub fn change_servers(&self, batch: WatchBatch) {
        let now = self.clock.now();
        let before = self.listings();
        let deleted = batch.deleted.len();
        if self.views.borrow_mut().servers.apply(batch, now) {
            self.hold_missing(&before, deleted, now);
            self.use_listings();
        }
    }

    /// Holds on to servers that are missing right after the store was away. An
    /// empty directory would stop all service, though the servers are well.
    fn hold_missing(&self, before: &[ServerListing], deleted: usize, now: Timestamp) {
        // A store that was away without anybody here noticing drops many entries
        // at once. Servers that leave do so one after the other.
        let is_mass = deleted > 2 && deleted * 3 > before.len();
        let after_outage = self
            .store_health
            .get()
            .returned_at
            .map(|it| it + RETURN_SPAN);
        let after_mass = is_mass.then(|| now + MASS_SPAN);
        let Some(until) = after_outage.max(after_mass).filter(|it| *it > now) else {
            return;
        };
        let listed = self.listings();
        let mut missing = self.missing.borrow_mut();
        for server in before {
            let is_listed = listed.iter().any(|it| it.name == server.name);
            let is_held = missing.iter().any(|it| it.0.name == server.name);
            if server.is_ready && !is_listed && !is_held {
                let span = until.since(now).as_millis() as u64;
                log::info!(server = server.name, for_ms = span; "directory: missing, used on for a moment");
                missing.push((server.clone(), until));
            }
        }
    }

    fn listings(&self) -> Vec<ServerListing> {
        let views = self.views.borrow();
        let mut listings = Vec::new();
        for pair in views.servers.pairs() {
            match <D::Records as FleetRecords>::read_server(&pair.key, &pair.value) {
                Ok(listing) => listings.push(listing),
                Err(error) => {
                    log::debug!(key = pair.key, error:% = error; "directory: an entry names no server");
                }
            }
        }
        listings
    }

    fn use_listings(&self) {
        let now = self.clock.now();
        let mut listings = self.listings();
        let mut missing = self.missing.borrow_mut();
        missing.retain(|it| it.1 > now && !listings.iter().any(|new| new.name == it.0.name));
        listings.extend(missing.iter().map(|it| it.0.clone()));
        let ready = listings.iter().filter(|it| it.is_ready).count();
        let revision = self.views.borrow().servers.revision();
        log::info!(servers = listings.len(), ready = ready, revision = revision; "directory: changed");
        self.metrics.view_revision("servers", revision);
        self.servers.borrow_mut().set_listings(&listings);
        self.share_servers();
        self.bulk_wake.notify_one();
    }

    /// Works out which servers this daemon uses first.
    fn share_servers(&self) {
        let own = self.member_record();
        let mut servers = self.servers.borrow_mut();
        let of_zone = servers
            .listed()
            .into_iter()
            .filter(|it| it.1.zone == own.zone);
        let of_zone: Vec<u64> = of_zone.map(|it| it.0).collect();
        let homes = self.members.borrow_mut().share_servers(&own, &of_zone);
        servers.set_homes(|server| homes.as_ref().is_none_or(|it| it.contains(&server)));
    }

    /// Takes over a whole list of daemons.
    pub fn take_members(&self, pairs: Vec<KeyValue>, revision: Revision) {
        let now = self.clock.now();
        if self.views.borrow_mut().members.reset(pairs, revision, now) {
            self.use_members();
        }
    }

    /// Takes over changes of daemons.
    pub fn change_members(&self, batch: WatchBatch) {
        let now = self.clock.now();
        if self.views.borrow_mut().members.apply(batch, now) {
            self.use_members();
        }
    }

    fn use_members(&self) {
        let now = self.clock.now();
        let views = self.views.borrow();
        let mut records = Vec::new();
        for pair in views.members.pairs() {
            match serde_json::from_slice::<MemberRecord>(&pair.value) {
                Ok(record) => records.push(record),
                Err(error) => {
                    log::warn!(key = pair.key, error:% = error; "membership: an entry can't be read");
                }
            }
        }
        let mut members = self.members.borrow_mut();
        members.set_listed(&records, now);
        let mut usage = self.usage.borrow_mut();
        usage.set_members(&members.entries(), now);
        usage.set_interval(members.interval());
        drop(members);
        self.share_servers();
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
        self.metrics
            .dropped_lines
            .set(crate::logs::dropped_lines() as i64);
    }

    /// What this daemon tells others of itself.
    pub fn member_record(&self) -> MemberRecord {
        MemberRecord {
            name: self.settings.name.clone(),
            zone: self.settings.zone.clone(),
            address: self.settings.peers,
            incarnation: self.incarnation,
            runs_lots: self.settings.runs_lots,
        }
    }

    /// What is told to other daemons now.
    pub fn peer_message(&self) -> PeerMessage {
        let now = self.clock.now();
        let number = self.message_number.get() + 1;
        self.message_number.set(number);
        let views = self.views.borrow();
        let (lots, progress) = self.lot_notices.borrow_mut().current(now);
        PeerMessage {
            from: self.member_record(),
            number,
            revisions: views.revisions(),
            shares: self.servers.borrow().own_shares(),
            usage: self.usage.borrow_mut().own_counts(now),
            suspects: self.suspects.borrow().own_counts(now),
            lots,
            progress,
            reaches_store: self.store.is_direct(),
            is_leaving: self.is_stopping.get(),
        }
    }

    /// Takes in what another daemon says.
    pub fn hear_peer(&self, message: &PeerMessage) {
        let now = self.clock.now();
        let Some(peer) = self.members.borrow_mut().hear(message, now) else {
            return;
        };
        self.servers.borrow_mut().hear(peer, &message.shares, now);
        if !message.from.runs_lots {
            let mut usage = self.usage.borrow_mut();
            usage.hear(peer, message.from.incarnation, &message.usage, now);
            if message.is_leaving {
                usage.leave(peer);
            }
        }
        self.suspects
            .borrow_mut()
            .hear(peer, &message.suspects, now);
        if self.settings.runs_lots {
            let mut inbox = self.lot_inbox.borrow_mut();
            for notice in &message.lots {
                match notice {
                    LotNotice::Accepted(lot) => inbox.accepted.push(lot.clone()),
                    LotNotice::Ended(lot) => inbox.ended.push(lot.clone()),
                }
            }
            self.bulk_wake.notify_one();
        }
    }

    /// Where the other daemons are reached.
    pub fn peer_addresses(&self) -> PeerAddresses {
        self.members.borrow().addresses()
    }

    /// Has items of other daemons step aside at a server, if a live request there
    /// would have to wait for them.
    pub fn ask_to_yield(&self, server: ServerId) {
        let now = self.clock.now();
        let holders = self.servers.borrow().yield_holders(server, now);
        if !holders.is_empty() {
            self.yield_asks.borrow_mut().extend(holders);
            self.yield_wanted.notify_one();
        }
    }

    /// Where the daemons are reached whose items have to step aside.
    pub fn take_yield_asks(&self) -> Vec<SocketAddr> {
        let mut holders = std::mem::take(&mut *self.yield_asks.borrow_mut());
        holders.sort_unstable();
        holders.dedup();
        self.members.borrow().addresses_of(&holders)
    }

    /// A daemon that acts by newer settings or servers than this one.
    pub fn peer_ahead(&self) -> Option<SocketAddr> {
        let known = self.views.borrow().complete_up_to();
        let zone = &self.settings.zone;
        self.members
            .borrow()
            .ahead_of(known, zone, &mut rand::rng())
    }

    /// Whether this daemon watches the store itself.
    pub fn is_watcher(&self) -> bool {
        let now = self.clock.now();
        self.members.borrow().is_watcher(&self.member_record(), now)
    }

    /// Whether this daemon looks for lots that nobody runs.
    pub fn is_lister(&self) -> bool {
        let now = self.clock.now();
        self.members.borrow().is_lister(&self.settings.name, now)
    }

    /// How often daemons speak at least.
    pub fn quiet_interval(&self) -> Duration {
        self.members.borrow().interval()
    }

    /// Tells other daemons of a lot.
    pub fn tell_lot(&self, notice: LotNotice) {
        let now = self.clock.now();
        if self.settings.runs_lots {
            let mut inbox = self.lot_inbox.borrow_mut();
            match &notice {
                LotNotice::Accepted(lot) => inbox.accepted.push(lot.clone()),
                LotNotice::Ended(lot) => inbox.ended.push(lot.clone()),
            }
        }
        self.lot_notices.borrow_mut().tell(notice, now);
        self.load_changed.notify_one();
    }

    /// Takes the lots that other daemons told of.
    pub fn take_lot_inbox(&self) -> LotInbox {
        std::mem::take(&mut self.lot_inbox.borrow_mut())
    }

    /// How many results a lot has, as the daemon that runs it tells.
    pub fn told_results(&self, lot: &str) -> usize {
        self.members.borrow().told_results(lot)
    }

    /// Where the daemon is reached that tells of a lot's results.
    pub fn lot_runner(&self, lot: &str) -> Option<SocketAddr> {
        self.members.borrow().lot_runner(lot, self.clock.now())
    }

    /// Whether another daemon tells that it ran a lot to its end.
    pub fn told_finished(&self, lot: &str) -> bool {
        self.members.borrow().told_finished(lot)
    }

    /// Whether another daemon that is heard runs a lot.
    pub fn is_held_elsewhere(&self, lot: &str) -> bool {
        self.members.borrow().is_held(lot, self.clock.now())
    }

    /// Whether a daemon was restarted since it had this number.
    pub fn is_former_life(&self, daemon: &str, incarnation: u64) -> bool {
        if daemon == self.settings.name {
            return incarnation != self.incarnation;
        }
        let now = self.clock.now();
        self.members
            .borrow()
            .is_former_life(daemon, incarnation, now)
    }

    /// Whether a lot falls to this daemon.
    pub fn is_own_lot(&self, lot: &str) -> bool {
        let now = self.clock.now();
        self.members
            .borrow()
            .is_own_lot(lot, &self.settings.name, now)
    }

    /// Whether all daemons that run lots are heard, so that no news is news.
    pub fn hears_lot_runners(&self) -> bool {
        self.members.borrow().hears_lot_runners(self.clock.now())
    }

    /// Whether this daemon is the first by name of those that run lots.
    pub fn is_first_lot_runner(&self) -> bool {
        self.members
            .borrow()
            .is_first_lot_runner(&self.settings.name)
    }

    /// Whether an operator wants this VM emptied.
    pub fn is_ordered_to_retire(&self) -> bool {
        let views = self.views.borrow();
        let read = |it: &KeyValue| <D::Records as FleetRecords>::read_retire(&it.key, &it.value);
        let mut orders = views.operators.pairs().iter().filter_map(read);
        orders.any(|it: RetireOrder| it.daemon == self.settings.name)
    }

    /// Notes that a call to the store failed.
    pub fn note_store_trouble(&self) {
        let mut health = self.store_health.get();
        health.failing_since.get_or_insert(self.clock.now());
        self.store_health.set(health);
    }

    /// Notes that the store answered.
    pub fn note_store_answer(&self) {
        let mut health = self.store_health.get();
        let now = self.clock.now();
        let since = health.failing_since.take();
        if since.is_some_and(|it| now.since(it) >= LEAST_OUTAGE) {
            health.returned_at = Some(now);
        }
        self.store_health.set(health);
    }

    /// The lease that claims hang on.
    pub fn lease(&self) -> Option<HeldLease> {
        let lease = self.lease.borrow().clone()?;
        (lease.until > self.clock.now()).then_some(lease)
    }

    /// Sets the lease that claims hang on.
    pub fn set_lease(&self, lease: Option<HeldLease>) {
        *self.lease.borrow_mut() = lease;
        self.bulk_wake.notify_one();
    }

    /// Refuses a request whose customer is over its rate.
    ///
    /// # Errors
    ///
    /// The refusal tells when a request will be let in.
    pub fn check_rate(&self, customer: &KnownCustomer, request_id: &str) -> Result<(), Refusal> {
        let now = self.clock.now();
        let checked = self.usage.borrow_mut().check(customer.number, now);
        checked.map_err(|retry_after| self.over_rate(customer, request_id, retry_after))
    }

    /// Counts a request in that is about to be sent.
    ///
    /// # Errors
    ///
    /// Others may have used the rate up since it was checked.
    pub fn admit(&self, customer: &KnownCustomer, request_id: &str) -> Result<(), Refusal> {
        let now = self.clock.now();
        let mut usage = self.usage.borrow_mut();
        let admitted = usage.admit(customer.number, now);
        if usage.is_tell_urgent(customer.number) {
            self.tell_wanted.notify_one();
        }
        drop(usage);
        self.load_changed.notify_one();
        admitted.map_err(|retry_after| self.over_rate(customer, request_id, retry_after))
    }

    fn over_rate(
        &self,
        customer: &KnownCustomer,
        request_id: &str,
        retry_after: Duration,
    ) -> Refusal {
        let level = self.usage.borrow().level(customer.number);
        log::info!(
            request = request_id, customer = customer.settings.name,
            rate = customer.settings.rate.unwrap_or_default(), level = level;
            "rates: over the rate"
        );
        self.metrics
            .refusal(&customer.settings.name, RefusalCause::OverRate.as_str());
        Refusal::new(RefusalCause::OverRate).retry_after(retry_after)
    }

    /// Notes that a server broke off at a request.
    pub fn note_crash(&self, fingerprint: u64) {
        let now = self.clock.now();
        self.suspects.borrow_mut().note(fingerprint, now);
    }

    /// Whether servers broke off at a request too often.
    pub fn is_suspect(&self, fingerprint: u64) -> bool {
        self.suspects
            .borrow()
            .is_suspect(fingerprint, self.clock.now())
    }
}
