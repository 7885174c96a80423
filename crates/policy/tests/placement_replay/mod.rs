//! What replays of placement on virtual time have in common: listings of servers, daemons that
//! report their requests to each other, load in steps, and a queue of events.

#![allow(dead_code, reason = "no test file uses all of this module")]

use std::{collections::BTreeMap, time::Duration};

use comfreyramp_policy::{
    ServerId, Timestamp,
    placement::{
        HomePair, PlacementQuery, PlacementTable, ServerListing, SlotReport, WorkKind, home_pairs,
    },
    usage::PeerId,
};
use rand::{Rng, rngs::StdRng};

/// The service of all servers.
const SERVICE: &str = "drafts";
pub(crate) const DAEMONS_PER_SERVER: usize = 4;
/// The interval of reports between daemons that share servers.
pub(crate) const NEAR_INTERVAL: Duration = Duration::from_millis(60);
/// The interval of reports to all daemons.
pub(crate) const FAR_INTERVAL: Duration = Duration::from_millis(750);

/// Load that is low and high by turns.
#[derive(Clone, Copy)]
pub(crate) struct LoadSteps {
    /// For how many seconds of each period the load is low.
    pub(crate) low_s: f64,
    pub(crate) period_s: f64,
    pub(crate) low: f64,
    pub(crate) high: f64,
}

/// Live load relative to its mean.
pub(crate) const LIVE_STEPS: LoadSteps = LoadSteps {
    low_s: 3.4,
    period_s: 5.8,
    low: 0.383,
    high: 1.87,
};

impl LoadSteps {
    /// Returns the load at a time after the begin of the replay.
    pub(crate) fn at(self, since: Duration) -> f64 {
        let phase = since.as_secs_f64() % self.period_s;
        debug_assert!(phase >= 0.0);
        match phase < self.low_s {
            true => self.low,
            false => self.high,
        }
    }
}

/// Events in order of their times; those of the same time in the order in which they were
/// added.
pub(crate) struct EventQueue<E> {
    events: BTreeMap<(Timestamp, u64), E>,
    added: u64,
}

impl<E> EventQueue<E> {
    pub(crate) fn new() -> Self {
        EventQueue {
            events: BTreeMap::new(),
            added: 0,
        }
    }

    pub(crate) fn add(&mut self, at: Timestamp, event: E) {
        self.added += 1;
        self.events.insert((at, self.added), event);
    }

    pub(crate) fn pop(&mut self) -> Option<(Timestamp, E)> {
        let ((at, _), event) = self.events.pop_first()?;
        Some((at, event))
    }

    /// Returns the next event, unless it is later than `now`.
    pub(crate) fn pop_due(&mut self, now: Timestamp) -> Option<E> {
        let entry = self.events.first_entry().filter(|it| it.key().0 <= now)?;
        Some(entry.remove())
    }

    pub(crate) fn len(&self) -> usize {
        self.events.len()
    }
}

/// When a daemon reports its requests.
struct ReportTimes {
    near_interval: Duration,
    near_due: Timestamp,
    far_due: Timestamp,
}

/// Daemons that report to each other how many of their requests are at each server.
pub(crate) struct Daemons {
    pub(crate) tables: Vec<PlacementTable>,
    ids: Vec<PeerId>,
    homes: Vec<HomePair>,
    /// The daemons that share servers with each daemon.
    near: Vec<Vec<usize>>,
    report_times: Vec<ReportTimes>,
}

impl Daemons {
    /// Creates daemons that share all servers, and get their list at `now`.
    pub(crate) fn new(ids: Vec<PeerId>, listings: &[ServerListing], now: Timestamp) -> Self {
        let table = |own: &PeerId| {
            let mut table = PlacementTable::new(*own);
            table.set_listings(listings, now);
            table
        };
        Daemons {
            tables: ids.iter().map(table).collect(),
            ids,
            homes: Vec::new(),
            near: Vec::new(),
            report_times: Vec::new(),
        }
    }

    /// Creates a daemon for each entry of `zone_of`, its zone, and assigns the servers of each
    /// zone to its daemons by `homes`.
    pub(crate) fn in_zones(
        zone_of: &[usize],
        listings: &[ServerListing],
        homes: impl Fn(&[u64], &[PeerId]) -> Vec<HomePair>,
    ) -> Self {
        let zones = zone_of.iter().max().map_or(0, |it| it + 1);
        let mut pairs = Vec::new();
        for zone in 0..zones {
            let of_zone = listings.iter().filter(|it| it.zone == zone_name(zone));
            let servers: Vec<u64> = of_zone.map(|it| PeerId::of_name(&it.name).0).collect();
            let daemons = (0..zone_of.len()).filter(|it| zone_of[*it] == zone);
            pairs.extend(homes(&servers, &daemons.map(peer).collect::<Vec<_>>()));
        }
        let ids = (0..zone_of.len()).map(peer).collect();
        let mut daemons = Daemons::new(ids, listings, Timestamp::ZERO);
        daemons.set_homes(pairs);
        daemons
    }

    fn set_homes(&mut self, homes: Vec<HomePair>) {
        for (table, own) in self.tables.iter_mut().zip(&self.ids) {
            table.set_homes(|server| homes.contains(&(server, *own)));
        }
        let near = |own: &PeerId| {
            let of_own = homes.iter().filter(|it| it.1 == *own);
            let servers: Vec<u64> = of_own.map(|it| it.0).collect();
            let sharing = homes.iter().filter(|it| servers.contains(&it.0));
            let sharing: Vec<PeerId> = sharing.map(|it| it.1).collect();
            (0..self.ids.len())
                .filter(|it| self.ids[*it] != *own && sharing.contains(&self.ids[*it]))
                .collect()
        };
        self.near = self.ids.iter().map(near).collect();
        self.homes = homes;
    }

    pub(crate) fn len(&self) -> usize {
        self.tables.len()
    }

    /// Places a live request. Returns its server and whether it has a slot there at once.
    pub(crate) fn place_live(
        &mut self,
        daemon: usize,
        query: PlacementQuery<'_>,
        now: Timestamp,
        random: &mut StdRng,
    ) -> Option<(ServerId, bool)> {
        let table = &mut self.tables[daemon];
        let server = table.choose_live(query, now, random).ok()?.server;
        Some((server, table.begin(server, WorkKind::Live, now)))
    }

    /// Has all daemons report from now on, each at times of its own.
    pub(crate) fn start_reports(&mut self, now: Timestamp, random: &mut StdRng) {
        let times = |_| ReportTimes {
            near_interval: NEAR_INTERVAL,
            near_due: now + NEAR_INTERVAL.mul_f64(random.random()),
            far_due: now + FAR_INTERVAL.mul_f64(random.random()),
        };
        self.report_times = (0..self.len()).map(times).collect();
    }

    /// Has all daemons report from now on, to near daemons first at once and then at an interval
    /// that grows with their number, but is at least `min_interval`.
    pub(crate) fn start_reports_by_peers(
        &mut self,
        interval_per_peer: Duration,
        min_interval: Duration,
        now: Timestamp,
        random: &mut StdRng,
    ) {
        let times = |near: &Vec<usize>| ReportTimes {
            near_interval: (interval_per_peer * near.len() as u32).max(min_interval),
            near_due: now,
            far_due: now + FAR_INTERVAL.mul_f64(random.random()),
        };
        self.report_times = self.near.iter().map(times).collect();
    }

    /// Sends the reports of a daemon that are due.
    pub(crate) fn send_due_reports(&mut self, daemon: usize, now: Timestamp) {
        let times = &mut self.report_times[daemon];
        let is_far_due = now >= times.far_due;
        if is_far_due {
            times.far_due = now + FAR_INTERVAL;
        }
        let is_near_due = now >= times.near_due;
        if is_near_due {
            times.near_due = now + times.near_interval;
        }
        if is_far_due {
            self.report_to_all(daemon, now);
        }
        if is_near_due {
            let near = self.near[daemon].clone();
            self.report(daemon, near, now);
        }
    }

    pub(crate) fn report_to_all(&mut self, from: usize, now: Timestamp) {
        self.report(from, 0..self.len(), now);
    }

    /// Reports a request to the home daemons of its server, unless its daemon is one of them.
    pub(crate) fn report_placement(&mut self, from: usize, server: ServerId, now: Timestamp) {
        let key = self.tables[from].key(server);
        let homes = self.homes.iter().filter(|it| it.0 == key);
        let homes: Vec<PeerId> = homes.map(|it| it.1).collect();
        if !homes.contains(&self.ids[from]) {
            let is_home = |it: &usize| homes.contains(&self.ids[*it]);
            let recipients: Vec<usize> = (0..self.len()).filter(is_home).collect();
            self.report(from, recipients, now);
        }
    }

    fn report(&mut self, from: usize, to: impl IntoIterator<Item = usize>, now: Timestamp) {
        let shares = self.tables[from].own_shares();
        for to in to.into_iter().filter(|it| *it != from) {
            self.tables[to].receive(self.ids[from], &shares, now);
        }
    }
}

/// Assigns to each daemon as many servers as to the others.
pub(crate) fn even_homes(servers: &[u64], daemons: &[PeerId]) -> Vec<HomePair> {
    home_pairs(servers, daemons, DAEMONS_PER_SERVER)
}

pub(crate) fn zone_name(zone: usize) -> String {
    format!("zone-{}", zone + 1)
}

pub(crate) fn peer(daemon: usize) -> PeerId {
    PeerId::of_name(&format!("entry-{daemon}"))
}

/// Returns the listing of a warm server of the first zone.
pub(crate) fn listing(number: usize, slots: usize) -> ServerListing {
    ServerListing {
        name: format!("server-{number}"),
        service: SERVICE.to_owned(),
        zone: zone_name(0),
        address: format!("10.0.0.{number}:80"),
        slots: slots as u32,
        is_ready: true,
        version: "v1".to_owned(),
        incarnation: 1,
        cold_left: Some(Duration::ZERO),
        revision: 1,
    }
}

/// Returns the query of a daemon in `zone` for any server.
pub(crate) fn query(zone: &str, max_wait: Duration) -> PlacementQuery<'_> {
    PlacementQuery {
        service: SERVICE,
        zone,
        exclude: &[],
        max_wait,
        software: None,
        parts: &[],
    }
}

/// Returns the report of a server with this many requests.
pub(crate) fn slot_report(running: usize, waiting: usize, slots: usize) -> SlotReport {
    SlotReport {
        running: running as u32,
        waiting: waiting as u32,
        slots: slots as u32,
        pace_percent: None,
    }
}
