//! The peers of a daemon: the list of them, and the reports sent to and received from them.

use std::{net::SocketAddr, time::Duration};

use comfreyramp_policy::{PausedSources, ServerId, Timestamp, parts::PartReport, usage::PeerId};
use comfreyramp_store::WatchBatch;

use super::Node;
use crate::{
    dialect::{Dialect, FleetRecords},
    fleet::{MEMBERS, MemberRecord, PeerAddresses, PeerMessage, PrefixSnapshot, UsageTimes},
};

impl<D: Dialect> Node<D> {
    /// Replaces the daemons' entries by a complete listing.
    pub fn replace_members(&self, list: PrefixSnapshot) {
        let now = self.clock.now();
        if self.views.borrow_mut().members.reset(list, now) {
            self.apply_members();
        }
    }

    /// Applies changes of the daemons' entries.
    pub fn apply_member_changes(&self, batch: WatchBatch) {
        let now = self.clock.now();
        if self.views.borrow_mut().members.apply(batch, now) {
            self.apply_members();
        }
    }

    fn apply_members(&self) {
        let now = self.clock.now();
        let views = self.views.borrow();
        let mut records = Vec::new();
        for pair in views.members.pairs() {
            match serde_json::from_slice::<MemberRecord>(&pair.value) {
                Ok(record) => records.push(record),
                Err(error) => {
                    log::warn!(key = pair.key, error:% = error; "membership: an entry is not a valid record");
                }
            }
        }
        let mut members = self.members.borrow_mut();
        members.set_listed(&records, now);
        let mut usage = self.usage.borrow_mut();
        usage.set_members(&members.entries(), now);
        usage.set_interval(members.report_interval());
        drop(members);
        self.assign_home_servers();
    }

    /// Returns the record by which this daemon registers in the store and identifies itself
    /// to peers.
    pub fn member_record(&self) -> MemberRecord {
        MemberRecord {
            name: self.settings.name.clone(),
            zone: self.settings.zone.clone(),
            address: self.settings.peers,
            incarnation: self.incarnation,
            runs_lots: self.settings.runs_lots,
        }
    }

    /// Builds the next report of this daemon to its peers.
    pub fn peer_message(&self) -> PeerMessage {
        let now = self.clock.now();
        let number = self.message_number.get() + 1;
        self.message_number.set(number);
        let views = self.views.borrow();
        let lease = self.lease().map(|it| it.id);
        let mut notices = self.lot_notices.borrow_mut();
        let (lots, progress) = notices.current(lease, now);
        let placed = notices.current_assignments(now);
        let usage = self.usage.borrow_mut().own_counts(now);
        PeerMessage {
            from: self.member_record(),
            number,
            revisions: views.revisions(),
            shares: self.servers.borrow().own_shares(),
            usage_times: UsageTimes::of(&usage),
            usage,
            suspects: self.suspects.borrow().own_counts(now),
            lots,
            progress,
            reaches_store: self.store.is_directly_reachable(),
            is_leaving: self.planned_stop.get().is_some(),
            items: self.pending_items.get(),
            placed,
            asks_word: false,
            parts: self.part_reports(number),
            failures: self.servers.borrow().own_failures(now),
            uptime_ms: u32::try_from(now.as_micros() / 1_000)
                .unwrap_or(u32::MAX)
                .max(1),
        }
    }

    fn part_reports(&self, number: u64) -> Vec<PartReport> {
        let now = self.clock.now();
        let daemons = self.members.borrow().len();
        self.parts.borrow().reports(number, daemons, now)
    }

    /// Processes a report of a peer, which was received at `arrived_at`.
    pub fn process_report(&self, message: &PeerMessage, arrived_at: Timestamp) {
        let Some(peer) = self.members.borrow_mut().receive(message, arrived_at) else {
            return;
        };
        let now = self.clock.now();
        let mut servers = self.servers.borrow_mut();
        servers.receive(peer, &message.shares, now);
        let is_regained = servers.silent_zones().contains(&message.from.zone);
        drop(servers);
        self.start_queues.slots_changed.notify_one();
        self.receive_failures(peer, &message.failures);
        if is_regained {
            self.update_silent_zones();
        }
        if !message.from.runs_lots {
            let mut usage = self.usage.borrow_mut();
            usage.receive(message.sender(), &message.timed_usage(), now);
            if message.is_leaving {
                usage.leave(peer);
            }
        }
        if message.asks_word {
            self.report_promptly([peer]);
        }
        self.suspects
            .borrow_mut()
            .receive(peer, &message.suspects, now);
        self.parts.borrow_mut().receive(&message.parts, now);
        if self.settings.runs_lots {
            let mut inbox = self.lot_inbox.borrow_mut();
            for notice in &message.lots {
                inbox.push(notice);
            }
            inbox.placed.extend_from_slice(&message.placed);
            self.bulk_work_changed.notify_one();
        }
    }

    /// Records that a server answered, which shows that its zone isn't cut off although none of
    /// its daemons is heard.
    pub fn record_server_answer(&self, server: ServerId) {
        let now = self.clock.now();
        let servers = self.servers.borrow();
        let zone = &servers.listing(server).zone;
        let is_regained = self.members.borrow_mut().note_server_answer(zone, now);
        if is_regained {
            log::info!(zone = zone, server = servers.listing(server).name; "directory: a server of a silent zone answers");
        }
        drop(servers);
        if is_regained {
            self.update_silent_zones();
        }
    }

    /// Returns a server of each zone none of whose daemons is heard, drawn at random.
    pub fn servers_of_unheard_zones(&self) -> Vec<ServerId> {
        let members = self.members.borrow();
        let servers = self.servers.borrow();
        let drawn = members
            .unheard_zones()
            .map(|it| servers.draw_listed(it, &mut rand::rng()));
        drawn.flatten().collect()
    }

    /// Updates the zones whose servers are avoided, as none of their daemons is heard.
    pub(super) fn update_silent_zones(&self) {
        let now = self.clock.now();
        let zone = &self.settings.zone;
        let silent = self.members.borrow_mut().silent_zones(zone, now);
        let mut servers = self.servers.borrow_mut();
        if servers.silent_zones() == silent {
            return;
        }
        log::info!(zones:? = silent, former:? = servers.silent_zones(); "directory: silent zones changed");
        servers.set_silent_zones(silent);
        drop(servers);
        self.bulk_work_changed.notify_one();
    }

    /// Returns the addresses of all peers.
    pub fn peer_addresses(&self) -> PeerAddresses {
        self.members.borrow().addresses()
    }

    /// Reports a live request that was just placed on a server at once to the peers whose
    /// items have to be preempted for it, and to those that use the server first: the others
    /// learn of it with a regular report, which may take most of a second, and until then
    /// the peers that rely on the server's slots would place requests in the same one.
    pub fn report_placement(&self, server: ServerId) {
        let now = self.clock.now();
        let servers = self.servers.borrow();
        let mut recipients = servers.preemption_holders(server, now);
        // Peers that share a home server have reports of every change.
        if !servers.is_home(server) {
            recipients.extend(self.members.borrow().home_entries(servers.key(server)));
        }
        drop(servers);
        if !recipients.is_empty() {
            self.report_promptly(recipients);
        }
    }

    /// Has the next report sent to some peers at once.
    fn report_promptly(&self, peers: impl IntoIterator<Item = PeerId>) {
        self.prompt_reports.borrow_mut().recipients.extend(peers);
        self.prompt_reports_due.notify_one();
    }

    /// Requests reports from some peers at once.
    pub(super) fn request_reports(&self, peers: Vec<PeerId>) {
        self.prompt_reports.borrow_mut().requested.extend(peers);
        self.prompt_reports_due.notify_one();
    }

    /// Takes the addresses of the peers to which a report has to be sent at once, and those
    /// of the peers from which one has to be requested.
    pub fn take_prompt_reports(&self) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let reports = std::mem::take(&mut *self.prompt_reports.borrow_mut());
        let members = self.members.borrow();
        let addresses = |mut peers: Vec<PeerId>| {
            peers.sort_unstable();
            peers.dedup();
            members.addresses_of(&peers)
        };
        (addresses(reports.recipients), addresses(reports.requested))
    }

    /// Returns the address of a peer whose views are newer than those of this daemon, leaving
    /// out the peers in `paused`.
    pub fn peer_with_newer_views(&self, paused: &PausedSources<SocketAddr>) -> Option<SocketAddr> {
        let now = self.clock.now();
        let known = self.views.borrow().complete_up_to();
        let zone = &self.settings.zone;
        let is_paused = |it| paused.is_paused(it, now);
        self.members
            .borrow()
            .choose_peer_ahead(known, zone, is_paused, &mut rand::rng(), now)
    }

    /// Records whether peers report revisions that haven't arrived at this daemon.
    pub fn update_lags(&self) {
        let now = self.clock.now();
        let own = self.views.borrow().complete_up_to();
        let newest = self.members.borrow().newest_revisions();
        let mut lags = self.lags.get();
        lags.note(own, newest, now);
        self.lags.set(lags);
    }

    /// Whether this daemon is one of those that watch the store for their zone.
    pub fn is_watcher(&self) -> bool {
        self.is_among_watchers(0)
    }

    /// Whether this daemon watches a prefix in the store: as one of the regular watchers or
    /// in their place, if changes haven't arrived at this daemon.
    pub fn is_watcher_of(&self, prefix: &str) -> bool {
        let now = self.clock.now();
        let lags = self.lags.get();
        let lag = match prefix {
            MEMBERS => lags.members,
            _ if prefix == <D::Records as FleetRecords>::SERVERS => lags.servers,
            _ => lags.operators,
        };
        self.is_among_watchers(lag.substitutes(now))
    }

    /// Whether this daemon watches at least one of its prefixes in the store.
    pub fn follows_store(&self) -> bool {
        let (servers, operators) = (
            <D::Records as FleetRecords>::SERVERS,
            <D::Records as FleetRecords>::OPERATORS,
        );
        [MEMBERS, servers, operators]
            .iter()
            .any(|it| self.is_watcher_of(it))
    }

    /// Whether this daemon is the one that probes the store for its zone.
    pub fn is_store_prober(&self) -> bool {
        let now = self.clock.now();
        let own = self.member_record();
        self.members.borrow().is_first_of_zone(&own, now)
    }

    fn is_among_watchers(&self, extra_watchers: usize) -> bool {
        let now = self.clock.now();
        let own = self.member_record();
        self.members.borrow().is_watcher(&own, extra_watchers, now)
    }

    /// Whether this daemon is one of those that search the store for lots that no daemon
    /// runs.
    pub fn is_lister(&self) -> bool {
        let now = self.clock.now();
        self.members.borrow().is_lister(&self.settings.name, now)
    }

    /// Returns the maximum interval between two reports to a peer.
    pub fn max_report_interval(&self) -> Duration {
        self.members.borrow().report_interval()
    }
}
