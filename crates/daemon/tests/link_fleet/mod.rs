//! The settings links of several daemons at one platform, in one process.

#![allow(unreachable_pub, reason = "a module of a test")]

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use comfreyramp_daemon::{
    clock::ProcessClock,
    settings_link::{
        LinkSettings, PeerAnswer, PeerSilence, PeerSource, SettingsAge, SettingsLink, SettingsView,
    },
    settings_manager::team_key,
};
use comfreyramp_policy::{DaemonId, FleetMember, member_score};
use comfreyramp_standins::platform::{FaultChange, MemoryStore, SharedPlatform};
use comfreyramp_store::{PlatformStore, Revision, Write, WriteBatch};
use tokio::{sync::watch, time::Instant};
use tokio_util::sync::CancellationToken;

/// The time limit for each wait of a test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

type TestLink = SettingsLink<MemoryStore, TestPeers>;

struct LinkDaemon {
    zone: usize,
    score: u64,
    link: TestLink,
    in_force: watch::Receiver<Arc<SettingsView>>,
    age: Arc<SettingsAge>,
    clock: ProcessClock,
    stop: CancellationToken,
    answers: bool,
}

type Daemons = Arc<Mutex<Vec<LinkDaemon>>>;

/// The connections from one daemon to the others.
#[derive(Clone)]
pub struct TestPeers {
    own: usize,
    daemons: Daemons,
}

impl PeerSource for TestPeers {
    fn members(&self) -> Vec<FleetMember> {
        let daemons = self.daemons.lock().unwrap();
        let Some(own) = daemons.get(self.own) else {
            return Vec::new();
        };
        let others = daemons.iter().enumerate().filter(|it| it.0 != self.own);
        let members = others.map(|(id, daemon)| FleetMember {
            id: DaemonId(id as u32),
            score: daemon.score,
            same_zone: daemon.zone == own.zone,
        });
        members.collect()
    }

    async fn query(
        &self,
        peer: DaemonId,
        known: Revision,
        hold: Duration,
    ) -> Result<Option<PeerAnswer>, PeerSilence> {
        let link = {
            let daemons = self.daemons.lock().unwrap();
            let peer = &daemons[peer.index()];
            if !peer.answers {
                return Err(PeerSilence("gone".into()));
            }
            peer.link.clone()
        };
        Ok(link.answer(known, hold).await)
    }
}

pub struct LinkFleet {
    pub platform: SharedPlatform,
    store: MemoryStore,
    daemons: Daemons,
}

pub fn outage(on: bool) -> FaultChange {
    FaultChange {
        outage: Some(on),
        ..FaultChange::default()
    }
}

impl LinkFleet {
    /// Starts a fleet; `zones` is the number of daemons in each zone.
    pub async fn start(zones: &[usize]) -> Self {
        let platform = SharedPlatform::default();
        let mut fleet = LinkFleet {
            store: MemoryStore::new(platform.clone()),
            platform,
            daemons: Daemons::default(),
        };
        for (zone, count) in zones.iter().enumerate() {
            for _ in 0..*count {
                fleet.add(zone);
            }
        }
        tokio::time::sleep(Duration::from_secs(5)).await;
        fleet
    }

    /// Starts another daemon and returns its index.
    pub fn add(&mut self, zone: usize) -> usize {
        let mut daemons = self.daemons.lock().unwrap();
        let own = daemons.len();
        let score = member_score(&format!("zone-{zone}"), &format!("entry-{own}"));
        let peers = TestPeers {
            own,
            daemons: self.daemons.clone(),
        };
        let settings = LinkSettings::default().own_score(score).seed(own as u64);
        let age = Arc::<SettingsAge>::default();
        let clock = ProcessClock::default();
        let link = SettingsLink::new(self.store.clone(), peers, clock, age.clone(), settings);
        let stop = CancellationToken::new();
        let (task, token) = (link.clone(), stop.clone());
        tokio::spawn(async move { task.run(token).await });
        daemons.push(LinkDaemon {
            zone,
            score,
            in_force: link.in_force(),
            link,
            age,
            clock,
            stop,
            answers: true,
        });
        own
    }

    /// Stops a daemon, which then no longer answers its peers.
    pub fn stop(&self, daemon: usize) {
        let mut daemons = self.daemons.lock().unwrap();
        daemons[daemon].stop.cancel();
        daemons[daemon].answers = false;
    }

    /// Stops a daemon's own updates; it still answers its peers.
    pub fn freeze(&self, daemon: usize) {
        self.daemons.lock().unwrap()[daemon].stop.cancel();
    }

    /// Returns the daemons of the first zone with the highest scores.
    pub fn highest_scored(&self, count: usize) -> Vec<usize> {
        let daemons = self.daemons.lock().unwrap();
        let mut order: Vec<usize> = (0..daemons.len()).collect();
        order.retain(|it| daemons[*it].zone == 0);
        order.sort_by_key(|it| std::cmp::Reverse(daemons[*it].score));
        order.truncate(count);
        order
    }

    pub async fn write(&self, team: &str, value: &str) {
        self.transact(Write::Put {
            key: team_key(team),
            value: value.to_owned().into(),
            lease: None,
        })
        .await;
    }

    pub async fn delete(&self, team: &str) {
        self.transact(Write::Delete(team_key(team))).await;
    }

    async fn transact(&self, write: Write) {
        let batch = WriteBatch {
            then: vec![write],
            ..WriteBatch::default()
        };
        self.store.transact(batch).await.unwrap();
    }

    /// Returns the settings of a team that a daemon has in force.
    pub fn value(&self, daemon: usize, team: &str) -> Option<String> {
        let view = self.daemons.lock().unwrap()[daemon]
            .in_force
            .borrow()
            .clone();
        let pair = view.pairs().iter().find(|it| it.key == team_key(team))?;
        Some(String::from_utf8(pair.value.to_vec()).unwrap())
    }

    /// Waits until a daemon has any settings in force and returns those of a
    /// team.
    pub async fn first_in_force(&self, daemon: usize, team: &str) -> Option<String> {
        let mut in_force = self.daemons.lock().unwrap()[daemon].in_force.clone();
        let any = in_force.wait_for(|it| it.revision > 0);
        drop(tokio::time::timeout(WAIT_TIMEOUT, any).await.unwrap());
        self.value(daemon, team)
    }

    pub fn in_force_revision(&self, daemon: usize) -> Revision {
        self.daemons.lock().unwrap()[daemon]
            .in_force
            .borrow()
            .revision
    }

    /// Waits until every running daemon has a value in force, and returns how
    /// long that took.
    pub async fn wait_for(&self, team: &str, value: &str) -> Duration {
        self.wait(|it| it.value_is(team, Some(value))).await
    }

    pub async fn wait_for_none(&self, team: &str) -> Duration {
        self.wait(|it| it.value_is(team, None)).await
    }

    async fn wait(&self, holds: impl Fn(&LinkDaemon) -> bool) -> Duration {
        let began = Instant::now();
        loop {
            let everywhere = {
                let daemons = self.daemons.lock().unwrap();
                let mut running = daemons.iter().filter(|it| !it.stop.is_cancelled());
                running.all(&holds)
            };
            if everywhere {
                return began.elapsed();
            }
            assert!(began.elapsed() < WAIT_TIMEOUT, "not in force everywhere");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    pub fn age(&self, daemon: usize) -> Duration {
        self.daemons.lock().unwrap()[daemon].age()
    }

    pub fn oldest_view(&self) -> Duration {
        let daemons = self.daemons.lock().unwrap();
        daemons.iter().map(LinkDaemon::age).max().unwrap()
    }

    pub fn youngest_view(&self) -> Duration {
        let daemons = self.daemons.lock().unwrap();
        daemons.iter().map(LinkDaemon::age).min().unwrap()
    }
}

impl LinkDaemon {
    fn value_is(&self, team: &str, value: Option<&str>) -> bool {
        let view = self.in_force.borrow();
        let pair = view.pairs().iter().find(|it| it.key == team_key(team));
        pair.map(|it| it.value.as_ref()) == value.map(str::as_bytes)
    }

    fn age(&self) -> Duration {
        self.age.age(self.clock.now())
    }
}

impl Drop for LinkFleet {
    fn drop(&mut self) {
        for daemon in self.daemons.lock().unwrap().iter() {
            daemon.stop.cancel();
        }
    }
}
