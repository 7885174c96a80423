//! The rate limiter: the share ledger behind a lock, and the admission of requests
//! by it.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError},
    time::Duration,
};

use comfreyramp_peers::{PeerError, PeerHeartbeat, PeerLink};
use comfreyramp_policy::{
    DaemonId, Heartbeat, Incarnation, Timestamp, ZoneId,
    rates::{
        CustomerKey, CustomerRate, Decision, LedgerTiming, Outgoing, RateAnswer, RateRequest,
        ShareLedger, ShareLevel, TokenAttempt, TokenRequest,
    },
};
use comfreyramp_settings::DaemonSettings;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::{clock::ProcessClock, shared::SharedState, snapshot::SettingsSnapshot};

use super::{KnownDaemon, RosterView, limiter_state::LimiterState};

/// How often the ledger removes expired loans and renews those it has borrowed.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// When a caller may retry while the rosters aren't known yet.
const NO_ROSTER_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Applies the rates of all customers at this daemon.
#[derive(Debug)]
pub struct RateLimiter {
    pub(super) clock: ProcessClock,
    state: Mutex<LimiterState>,
    link: OnceLock<PeerLink>,
    wake: Notify,
}

impl RateLimiter {
    /// Creates a rate limiter that knows no rosters yet and so rejects all
    /// requests.
    pub fn new(settings: &DaemonSettings, incarnation: Incarnation, clock: ProcessClock) -> Self {
        let own = KnownDaemon {
            name: settings.name.clone(),
            ..KnownDaemon::default()
        };
        RateLimiter {
            clock,
            state: Mutex::new(LimiterState {
                name: settings.name.clone(),
                zone: settings.zone.clone(),
                address: settings.peers.to_string(),
                incarnation: incarnation.0,
                ledger: None,
                daemons: vec![own],
                view: RosterView::default(),
                verified: None,
                peer_revision: 0,
                rates: Vec::new(),
                listed: Vec::new(),
                watch: Default::default(),
                leaving: false,
            }),
            link: OnceLock::new(),
            wake: Notify::new(),
        }
    }

    /// Sets the link to the other daemons, which reach this one at `address`.
    pub fn connect(&self, link: PeerLink, address: SocketAddr) {
        self.lock().address = address.to_string();
        // A daemon has one peer server, so a second link is never set.
        let _ = self.link.set(link);
    }

    /// Returns whether the rosters are known well enough to admit requests.
    pub fn is_ready(&self) -> bool {
        let now = self.clock.now();
        let state = self.lock();
        let ledger = state.ledger.as_ref();
        ledger.is_some_and(|ledger| ledger.may_spend(now))
    }

    /// Admits a request of a customer, or fails with the time after which the
    /// caller may retry.
    ///
    /// A request can arrive before the ledger knows its customer, if that was
    /// created a moment ago. The ledger then takes the rates from `settings`, with
    /// which the key was accepted.
    pub async fn admit(
        &self,
        customer: &str,
        settings: impl FnOnce() -> Arc<SettingsSnapshot>,
    ) -> Result<(), Duration> {
        let customer = CustomerKey::of_name(customer);
        let known = |ledger: &ShareLedger| ledger.has_rate(customer);
        if !self.lock().ledger.as_ref().is_some_and(known) {
            self.set_rates(&settings());
        }
        let mut decision = self.decide(|ledger, now| ledger.admit(customer, now));
        loop {
            match decision {
                Decision::Admitted => return Ok(()),
                Decision::Refused { retry_after } => return Err(retry_after),
                Decision::RequestToken {
                    to,
                    request,
                    attempt,
                } => {
                    decision = self.borrow(to, request, attempt).await;
                }
            }
        }
    }

    /// Returns what this daemon holds of a customer's rate.
    pub fn level(&self, customer: &str) -> ShareLevel {
        let state = self.lock();
        let ledger = state.ledger.as_ref();
        ledger.map_or_else(ShareLevel::default, |ledger| {
            ledger.share_level(CustomerKey::of_name(customer))
        })
    }

    /// Answers a rate request of the daemon called `from`.
    pub fn handle(&self, from: &str, request: &RateRequest) -> RateAnswer {
        let now = self.clock.now();
        let mut state = self.lock();
        let from = state.id_of(from);
        let Some(ledger) = &mut state.ledger else {
            return answer_without_ledger(request);
        };
        let answer = ledger.handle_request(from, request, now);
        drop(state);
        self.wake.notify_one();
        answer
    }

    /// Sets the names of the daemons that the VM list shows as live.
    pub fn set_live_daemons(&self, live: Vec<String>) {
        self.lock().listed = live;
    }

    /// Returns the heartbeat that this daemon sends to its peers.
    pub fn own_heartbeat(&self, settings_revision: i64) -> PeerHeartbeat {
        let now = self.clock.now();
        let state = self.lock();
        let view_age = state.verified.map(|at| now.since(at));
        PeerHeartbeat {
            member: Heartbeat {
                name: state.name.clone(),
                zone: ZoneId(state.own_zone().unwrap_or_default() as u32),
                address: state.address.clone(),
                incarnation: Incarnation(state.incarnation),
                leaving: state.leaving,
            },
            settings_revision,
            roster_revision: state.view.revision,
            view_age: view_age.unwrap_or(Duration::MAX),
        }
    }

    /// Records the heartbeat of another daemon.
    pub fn record_heartbeat(&self, heartbeat: &PeerHeartbeat) {
        let mut state = self.lock();
        let id = state.id_of(&heartbeat.member.name);
        let revision = heartbeat.roster_revision;
        state.peer_revision = state.peer_revision.max(revision);
        let daemon = &mut state.daemons[id.index()];
        daemon.silent_since = None;
        if let Ok(address) = heartbeat.member.address.parse() {
            daemon.address = Some(address);
        }
    }

    /// Returns the other daemons that are on rosters, and whether each is in the
    /// same zone as this one.
    pub fn peers(&self) -> Vec<(DaemonId, KnownDaemon, bool)> {
        let state = self.lock();
        let own = state.own_zone();
        let daemons = state.daemons.iter().enumerate().skip(1);
        let members = daemons.filter(|(_, daemon)| daemon.zone.is_some());
        let peers = members.map(|(index, daemon)| {
            let id = DaemonId(index as u32);
            (id, daemon.clone(), daemon.zone == own)
        });
        peers.collect()
    }

    /// Returns the link to the other daemons and the address of one of them, or
    /// none if either isn't known.
    pub fn link_to(&self, daemon: DaemonId) -> Option<(PeerLink, SocketAddr)> {
        let address = self.lock().daemons.get(daemon.index())?.address?;
        Some((self.link.get()?.clone(), address))
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, LimiterState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the customers' rates from the settings in force.
    fn set_rates(&self, snapshot: &SettingsSnapshot) {
        let customers = snapshot.customers.iter();
        let rates = customers.map(|customer| CustomerRate {
            customer: CustomerKey::of_name(&customer.name),
            rate: customer.rate,
            burst: customer.burst,
        });
        let rates: Vec<CustomerRate> = rates.collect();
        let now = self.clock.now();
        let mut state = self.lock();
        if let Some(ledger) = &mut state.ledger {
            ledger.set_rates(&rates, now);
        }
        state.rates = rates;
    }

    /// Ticks the ledger and confirms to it up to when rosters and settings are known
    /// to be current.
    fn tick(&self, settings_age: Duration) {
        let now = self.clock.now();
        let mut state = self.lock();
        let verified = state.verified;
        if let Some(ledger) = &mut state.ledger {
            let settings = (settings_age.as_micros() <= u128::from(now.as_micros()))
                .then(|| now - settings_age);
            ledger.tick(now);
            if let (Some(rosters), Some(settings)) = (verified, settings) {
                ledger.confirm_view(rosters.min(settings));
            }
        }
        drop(state);
        self.wake.notify_one();
    }

    async fn borrow(&self, to: DaemonId, request: TokenRequest, attempt: TokenAttempt) -> Decision {
        let Some((link, address)) = self.link_to(to) else {
            return self.decide(|ledger, now| ledger.on_unreachable(attempt, now));
        };
        let timeout = LedgerTiming::default().request_timeout;
        let answer = link
            .rates(address, RateRequest::Tokens(request), timeout)
            .await;
        self.decide(|ledger, now| match answer {
            Ok(RateAnswer::Tokens(answer)) => ledger.on_answer(attempt, answer, now),
            Err(PeerError::Unreachable(_)) => ledger.on_unreachable(attempt, now),
            _ => ledger.on_timeout(attempt, now),
        })
    }

    fn decide(&self, step: impl FnOnce(&mut ShareLedger, Timestamp) -> Decision) -> Decision {
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(ledger) = &mut state.ledger else {
            let retry_after = NO_ROSTER_RETRY_AFTER;
            return Decision::Refused { retry_after };
        };
        let decision = step(ledger, now);
        drop(state);
        self.wake.notify_one();
        decision
    }

    fn outgoing(&self) -> Vec<Outgoing> {
        let mut state = self.lock();
        let ledger = state.ledger.as_mut();
        ledger.map(ShareLedger::take_outgoing).unwrap_or_default()
    }

    async fn send(&self, message: Outgoing) {
        let Some((link, address)) = self.link_to(message.to) else {
            return;
        };
        let timeout = LedgerTiming::default().request_timeout;
        // A lost message makes tokens unavailable for a moment, which the ledger
        // allows for.
        let Ok(RateAnswer::Slices(offers)) = link.rates(address, message.request, timeout).await
        else {
            return;
        };
        let now = self.clock.now();
        if let Some(ledger) = &mut self.lock().ledger {
            ledger.accept_offers(message.to, &offers, now);
        }
    }
}

/// Returns the answer to a request that arrives before this daemon has a ledger.
fn answer_without_ledger(request: &RateRequest) -> RateAnswer {
    match request {
        RateRequest::Tokens(_) => RateAnswer::Tokens(comfreyramp_policy::rates::TokenAnswer::Stale),
        RateRequest::Slices(_) => RateAnswer::Slices(Vec::new()),
        RateRequest::Return(_) | RateRequest::Settle(_) => RateAnswer::Done,
    }
}

/// Ticks the ledger and passes it the rates in force, until `stop` is cancelled.
pub async fn run_ledger(state: Arc<SharedState>, stop: CancellationToken) -> anyhow::Result<()> {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    let mut snapshots = state.snapshots.clone();
    snapshots.mark_changed();
    loop {
        tokio::select! {
            () = stop.cancelled() => return Ok(()),
            changed = snapshots.changed() => {
                changed?;
                let snapshot = snapshots.borrow_and_update().clone();
                state.rates.set_rates(&snapshot);
            }
            _ = ticks.tick() => {}
        }
        let age = state.settings_age(state.clock.now());
        state.rates.tick(age);
    }
}

/// Sends the ledger's messages to other daemons, until `stop` is cancelled.
pub async fn send_messages(state: Arc<SharedState>, stop: CancellationToken) -> anyhow::Result<()> {
    loop {
        tokio::select! {
            () = stop.cancelled() => return Ok(()),
            () = state.rates.wake.notified() => {}
        }
        for message in state.rates.outgoing() {
            let state = state.clone();
            tokio::spawn(async move { state.rates.send(message).await });
        }
    }
}
