//! The other daemons: who they are, what they are told and what they say.

use std::{net::SocketAddr, time::Duration};

use comfreyramp_policy::{PassedSources, ServerId, Timestamp, usage::PeerId};
use comfreyramp_store::WatchBatch;

use super::Node;
use crate::{
    dialect::{Dialect, FleetRecords},
    fleet::{MEMBERS, MemberRecord, PeerAddresses, PeerMessage, UsageTimes, WholeList},
};

impl<D: Dialect> Node<D> {
    /// Takes over a whole list of daemons.
    pub fn take_members(&self, list: WholeList) {
        let now = self.clock.now();
        if self.views.borrow_mut().members.reset(list, now) {
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
        let lease = self.lease().map(|it| it.id);
        let mut notices = self.lot_notices.borrow_mut();
        let (lots, progress) = notices.current(lease, now);
        let placed = notices.current_placed(now);
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
            reaches_store: self.store.is_direct(),
            is_leaving: self.is_stopping.get(),
            items: self.held_items.get(),
            placed,
            asks_word: false,
        }
    }

    /// Takes in what another daemon says, in a message that came in at `arrived_at`.
    pub fn hear_peer(&self, message: &PeerMessage, arrived_at: Timestamp) {
        let Some(peer) = self.members.borrow_mut().hear(message, arrived_at) else {
            return;
        };
        let now = self.clock.now();
        self.servers.borrow_mut().hear(peer, &message.shares, now);
        if !message.from.runs_lots {
            let mut usage = self.usage.borrow_mut();
            usage.hear(peer, message.from.incarnation, &message.timed_usage(), now);
            if message.is_leaving {
                usage.leave(peer);
            }
        }
        if message.asks_word {
            self.tell_at_once([peer]);
        }
        self.suspects
            .borrow_mut()
            .hear(peer, &message.suspects, now);
        if self.settings.runs_lots {
            let mut inbox = self.lot_inbox.borrow_mut();
            for notice in &message.lots {
                inbox.take(notice);
            }
            inbox.placed.extend_from_slice(&message.placed);
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
        self.tell_at_once(holders);
    }

    /// Has daemons hear from this one at once.
    fn tell_at_once(&self, peers: impl IntoIterator<Item = PeerId>) {
        self.prompt_words.borrow_mut().told.extend(peers);
        self.prompt_wanted.notify_one();
    }

    /// Asks daemons for a word at once.
    pub(super) fn ask_words(&self, peers: Vec<PeerId>) {
        self.prompt_words.borrow_mut().asked.extend(peers);
        self.prompt_wanted.notify_one();
    }

    /// Where the daemons are reached that have to hear from this one at once, and those
    /// that are asked for a word.
    pub fn take_prompt_words(&self) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let words = std::mem::take(&mut *self.prompt_words.borrow_mut());
        let members = self.members.borrow();
        let addresses = |mut peers: Vec<PeerId>| {
            peers.sort_unstable();
            peers.dedup();
            members.addresses_of(&peers)
        };
        (addresses(words.told), addresses(words.asked))
    }

    /// A daemon that acts by newer settings or servers than this one.
    pub fn peer_ahead(&self, passed: &PassedSources<SocketAddr>) -> Option<SocketAddr> {
        let now = self.clock.now();
        let known = self.views.borrow().complete_up_to();
        let zone = &self.settings.zone;
        let is_passed = |it| passed.is_passed(it, now);
        self.members
            .borrow()
            .ahead_of(known, zone, is_passed, &mut rand::rng(), now)
    }

    /// Notes whether other daemons act by changes that haven't arrived here.
    pub fn note_lag(&self) {
        let now = self.clock.now();
        let own = self.views.borrow().complete_up_to();
        let newest = self.members.borrow().newest_revisions();
        let mut lags = self.lags.get();
        lags.note(own, newest, now);
        self.lags.set(lags);
    }

    /// Whether this daemon watches the store itself.
    pub fn is_watcher(&self) -> bool {
        self.is_among_watchers(0)
    }

    /// Whether this daemon asks the store for what begins with a prefix: as one of
    /// those that watch, or in their place, as changes have been missing here.
    pub fn is_watcher_of(&self, prefix: &str) -> bool {
        let now = self.clock.now();
        let lags = self.lags.get();
        let lag = match prefix {
            MEMBERS => lags.members,
            _ if prefix == <D::Records as FleetRecords>::SERVERS => lags.servers,
            _ => lags.operators,
        };
        self.is_among_watchers(lag.stand_ins(now))
    }

    /// Whether this daemon asks the store for anything that it follows.
    pub fn follows_store(&self) -> bool {
        let (servers, operators) = (
            <D::Records as FleetRecords>::SERVERS,
            <D::Records as FleetRecords>::OPERATORS,
        );
        [MEMBERS, servers, operators]
            .iter()
            .any(|it| self.is_watcher_of(it))
    }

    /// Whether this daemon probes the store for its zone.
    pub fn is_probe_lead(&self) -> bool {
        let now = self.clock.now();
        let own = self.member_record();
        self.members.borrow().is_first_of_zone(&own, now)
    }

    fn is_among_watchers(&self, stand_ins: usize) -> bool {
        let now = self.clock.now();
        let own = self.member_record();
        self.members.borrow().is_watcher(&own, stand_ins, now)
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
}
