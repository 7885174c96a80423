//! Tests of the peer link between two daemons on loopback.
#![allow(clippy::unwrap_used, reason = "a step that fails fails its test")]

use std::{
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex},
    time::Duration,
};

use assert_matches::assert_matches;
use comfreyramp_peers::{
    LinkTiming, LiveAnnouncement, PeerError, PeerHandler, PeerHeartbeat, PeerLink, SettingsAnswer,
    SettingsPair, SettingsRequest,
};
use comfreyramp_policy::{
    DeathFact, DeathId, Fingerprint, Heartbeat, Incarnation, NoticeAck, ServerKey, SuspectFact,
    SuspectNotice, SuspectStage, ViewOffer, ZoneId,
    rates::{
        CustomerKey, RateAnswer, RateRequest, Slice, SliceOffer, SliceRequest, SliceReturn,
        TokenAnswer, TokenRequest, TokenSettlement, Tokens,
    },
};
use tokio_util::sync::CancellationToken;

const TIMEOUT: Duration = Duration::from_secs(10);

/// Records the requests it receives and returns preset answers.
#[derive(Clone)]
struct Recorder {
    name: &'static str,
    requests: Arc<Mutex<Vec<RateRequest>>>,
    heartbeats: Arc<Mutex<Vec<PeerHeartbeat>>>,
    answer: Arc<Mutex<RateAnswer>>,
    view: Option<SettingsAnswer>,
}

fn recorder(name: &'static str) -> Recorder {
    Recorder {
        name,
        requests: Arc::default(),
        heartbeats: Arc::default(),
        answer: Arc::new(Mutex::new(RateAnswer::Done)),
        view: None,
    }
}

fn heartbeat_of(name: &str) -> PeerHeartbeat {
    PeerHeartbeat {
        member: Heartbeat {
            name: name.to_owned(),
            zone: ZoneId(2),
            address: "127.0.0.1:1".to_owned(),
            incarnation: Incarnation(u64::MAX - 3),
            leaving: true,
        },
        settings_revision: -7,
        roster_revision: i64::MAX,
        view_age: Duration::from_micros(1_234_567),
    }
}

impl PeerHandler for Recorder {
    fn own_heartbeat(&self) -> PeerHeartbeat {
        heartbeat_of(self.name)
    }

    fn handle_heartbeat(&self, heartbeat: &PeerHeartbeat) {
        self.heartbeats.lock().unwrap().push(heartbeat.clone());
    }

    fn rates(&self, from: &PeerHeartbeat, request: &RateRequest) -> RateAnswer {
        assert_eq!(from.member.name, "asker");
        self.requests.lock().unwrap().push(request.clone());
        self.answer.lock().unwrap().clone()
    }

    async fn settings(&self, request: SettingsRequest) -> Option<SettingsAnswer> {
        tokio::time::sleep(request.max_hold).await;
        self.view
            .clone()
            .filter(|view| view.offer.base == request.known_revision)
    }

    fn suspects(&self, _from: &PeerHeartbeat, notice: SuspectNotice) -> NoticeAck {
        let fingerprints: Vec<_> = notice.facts.iter().map(|fact| fact.fingerprint).collect();
        NoticeAck {
            running: fingerprints.clone(),
            noted: fingerprints,
            facts: notice.facts,
        }
    }

    fn announce(&self, notices: &[LiveAnnouncement]) -> Vec<u32> {
        notices.iter().map(|it| it.count + 1).collect()
    }
}

struct Daemon {
    link: PeerLink,
    address: SocketAddr,
    stop: CancellationToken,
    thread: std::thread::JoinHandle<()>,
}

impl Daemon {
    fn start(handler: Recorder, address: SocketAddr, timing: LinkTiming) -> Daemon {
        let listener = TcpListener::bind(address).unwrap();
        let address = listener.local_addr().unwrap();
        let stop = CancellationToken::new();
        let (link, thread) = PeerLink::start(listener, handler, timing, stop.clone()).unwrap();
        Daemon {
            link,
            address,
            stop,
            thread,
        }
    }

    fn stop(self) {
        self.stop.cancel();
        self.thread.join().unwrap();
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn pair(answerer: Recorder) -> (Daemon, Daemon) {
    let timing = LinkTiming::default();
    let asker = Daemon::start(recorder("asker"), any_port(), timing);
    (asker, Daemon::start(answerer, any_port(), timing))
}

fn token_ask() -> RateRequest {
    RateRequest::Tokens(TokenRequest {
        customer: CustomerKey(u64::MAX),
        slot: 63,
        want: 9,
        home: true,
        spent: Some(0),
    })
}

#[tokio::test]
async fn each_message_about_rates_arrives_as_it_was_sent() {
    let customer = CustomerKey(3);
    let answerer = recorder("answerer");
    let (asker, other) = pair(answerer.clone());
    let offer = SliceOffer {
        customer,
        slot: 5,
        loan: 6,
        sent: 7,
        slice: Slice {
            rate: Tokens::from_f64(0.123),
            capacity: Tokens::whole(9),
        },
        tokens: Tokens::ONE,
    };
    let retry_after = Duration::from_micros(77);
    let token_answers = [
        TokenAnswer::Granted {
            grant: 1,
            count: 2,
            settle: true,
        },
        TokenAnswer::Empty {
            retry_after,
            complete: true,
        },
        TokenAnswer::NotHolder,
        TokenAnswer::Stale,
    ];
    let token_answers = token_answers.map(|answer| (token_ask(), RateAnswer::Tokens(answer)));
    let mut exchanges = token_answers.to_vec();
    let want = SliceRequest {
        customer,
        slot: 1,
        loan: 2,
        sent: 3,
    };
    exchanges.push((
        RateRequest::Slices(vec![want; 3]),
        RateAnswer::Slices(vec![offer; 2]),
    ));
    let back = SliceReturn {
        customer,
        slot: 1,
        loan: 2,
        tokens: Tokens::ONE,
    };
    exchanges.push((RateRequest::Return(vec![back]), RateAnswer::Done));
    let settlement = TokenSettlement {
        customer,
        slot: 1,
        grant: 2,
        unspent: 3,
    };
    exchanges.push((RateRequest::Settle(vec![settlement]), RateAnswer::Done));
    for (request, answer) in exchanges {
        *answerer.answer.lock().unwrap() = answer.clone();
        let got = asker
            .link
            .rates(other.address, request.clone(), TIMEOUT)
            .await;
        assert_eq!(got.unwrap(), answer);
        assert_eq!(answerer.requests.lock().unwrap().pop(), Some(request));
    }
    asker.stop();
    other.stop();
}

#[tokio::test]
async fn heartbeats_go_both_ways_and_come_with_each_connection() {
    let answerer = recorder("answerer");
    let (asker, other) = pair(answerer.clone());
    let sent = PeerHeartbeat {
        settings_revision: 8,
        ..heartbeat_of("asker")
    };
    let received = asker
        .link
        .heartbeat(other.address, sent.clone(), TIMEOUT)
        .await;
    assert_eq!(received.unwrap(), heartbeat_of("answerer"));
    assert_eq!(
        *answerer.heartbeats.lock().unwrap(),
        [heartbeat_of("asker"), sent]
    );
    asker.stop();
    other.stop();
}

#[tokio::test]
async fn settings_and_suspects_arrive_as_they_were_sent() {
    let view = SettingsAnswer {
        offer: ViewOffer {
            base: 4,
            revision: 5,
            age: Duration::from_millis(6),
            direct: true,
        },
        written: vec![SettingsPair {
            key: "teams/köln".to_owned(),
            value: vec![0, 255, 7],
            modified: 1,
            created: 2,
            version: 3,
        }],
        deleted: vec!["teams/gone".to_owned()],
    };
    let mut answerer = recorder("answerer");
    answerer.view = Some(view.clone());
    let (asker, other) = pair(answerer);
    let hold = Duration::ZERO;
    let known = SettingsRequest {
        known_revision: 4,
        max_hold: hold,
    };
    let got = asker.link.settings(other.address, known, TIMEOUT).await;
    assert_eq!(got.unwrap(), Some(view));
    let unknown = SettingsRequest {
        known_revision: 9,
        max_hold: hold,
    };
    let got = asker.link.settings(other.address, unknown, TIMEOUT).await;
    assert_eq!(got.unwrap(), None);

    let stages = [
        SuspectStage::Suspected,
        SuspectStage::Blocked,
        SuspectStage::Cleared,
    ];
    let facts = stages.map(|stage| SuspectFact {
        fingerprint: Fingerprint(u128::MAX - 5),
        stage,
        deaths: vec![DeathFact {
            id: DeathId {
                seen_by: Incarnation(1),
                number: 2,
            },
            server: ServerKey(3),
            age: Duration::from_secs(4),
            ran: Duration::from_secs(5),
        }],
        lifetime: Duration::from_secs(600),
    });
    let notice = SuspectNotice {
        facts: facts.to_vec(),
    };
    let ack = asker
        .link
        .suspects(other.address, notice.clone(), TIMEOUT)
        .await;
    let ack = ack.unwrap();
    assert_eq!(ack.facts, notice.facts);
    assert_eq!(ack.noted, [Fingerprint(u128::MAX - 5); 3]);
    assert_eq!(ack.running, ack.noted);
    asker.stop();
    other.stop();
}

#[tokio::test]
async fn an_unreachable_peer_is_distinguished_from_a_slow_one() {
    // A daemon stops, and its successor starts at the same address. Requests in
    // between must fail as unreachable, since callers may then send them to
    // another daemon. Requests after the restart must not be lost on the broken
    // connection.
    let (asker, other) = pair(recorder("answerer"));
    let request = RateRequest::Settle(Vec::new());
    let got = asker
        .link
        .rates(other.address, request.clone(), TIMEOUT)
        .await;
    assert_eq!(got, Ok(RateAnswer::Done));
    let address = other.address;
    other.stop();
    loop {
        // First the broken connection is detected, then none can be opened.
        match asker.link.rates(address, request.clone(), TIMEOUT).await {
            Err(PeerError::Unreachable(_)) => break,
            answer => assert_matches!(answer, Err(PeerError::AnswerLost(_))),
        }
    }
    let successor = Daemon::start(recorder("successor"), address, LinkTiming::default());
    let got = asker.link.rates(address, request, TIMEOUT).await;
    assert_eq!(got, Ok(RateAnswer::Done));
    asker.stop();
    successor.stop();
}

#[tokio::test]
async fn a_delayed_answer_delays_no_other_request() {
    // A request for changes of the settings may wait at the peer for long.
    // Requests for tokens use the same connection and must not be delayed by it.
    let (asker, other) = pair(recorder("answerer"));
    let hold = Duration::from_secs(3_600);
    let waiting = SettingsRequest {
        known_revision: 0,
        max_hold: hold,
    };
    let timeout = Duration::from_millis(200);
    let held = asker.link.settings(other.address, waiting, timeout);
    let settle = RateRequest::Settle(Vec::new());
    let quick = asker.link.rates(other.address, settle, TIMEOUT);
    let (held, quick) = tokio::join!(held, quick);
    assert_eq!(held, Err(PeerError::TimedOut));
    assert_eq!(quick, Ok(RateAnswer::Done));
    asker.stop();
    other.stop();
}

#[tokio::test]
async fn a_peer_that_never_answers_gets_a_new_connection() {
    // When a VM is lost, its connections stay open at this end. If they were
    // kept, the daemon that replaces it would never be reached.
    let silent = TcpListener::bind(any_port()).unwrap();
    let address = silent.local_addr().unwrap();
    let asker = Daemon::start(recorder("asker"), any_port(), LinkTiming::default());
    let timeout = Duration::from_millis(30);
    let request = RateRequest::Settle(Vec::new());
    for _ in 0..4 {
        let got = asker.link.rates(address, request.clone(), timeout).await;
        assert_eq!(got, Err(PeerError::TimedOut));
    }
    drop(silent);
    let other = Daemon::start(recorder("answerer"), address, LinkTiming::default());
    let got = asker.link.rates(address, request, TIMEOUT).await;
    assert_eq!(got, Ok(RateAnswer::Done));
    asker.stop();
    other.stop();
}

#[tokio::test]
async fn idle_connections_are_closed_and_opened_again() {
    // Of hundreds of daemons only a few get frequent requests. Connections kept
    // open to all of them would cost memory and keepalives at both ends.
    let timing = LinkTiming {
        idle_timeout: Duration::from_millis(20),
        ..LinkTiming::default()
    };
    let asker = Daemon::start(recorder("asker"), any_port(), timing);
    let answerer = recorder("answerer");
    let other = Daemon::start(answerer.clone(), any_port(), timing);
    let request = RateRequest::Settle(Vec::new());
    while answerer.heartbeats.lock().unwrap().len() < 2 {
        // Each new connection starts with a heartbeat.
        let got = asker
            .link
            .rates(other.address, request.clone(), TIMEOUT)
            .await;
        assert_eq!(got, Ok(RateAnswer::Done));
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
    asker.stop();
    other.stop();
}

#[tokio::test]
async fn announcements_arrive_in_order_and_so_does_the_answer() {
    let (asker, other) = pair(recorder("answerer"));
    let notices = [(7, 1), (u64::MAX, 2), (0, 40)].map(|(server, count)| LiveAnnouncement {
        server: ServerKey(server),
        count,
    });
    let answer = asker
        .link
        .announce(other.address, notices.to_vec(), TIMEOUT);
    assert_eq!(answer.await.unwrap(), [2, 3, 41]);
    let nothing = asker.link.announce(other.address, Vec::new(), TIMEOUT);
    assert_eq!(nothing.await.unwrap(), Vec::<u32>::new());
}
