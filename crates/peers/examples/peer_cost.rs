//! Measures the bytes and the processor time of messages between two daemons.
//!
//! `cargo run --release -p comfreyramp-peers --example peer_cost`

use std::{
    net::{SocketAddr, TcpListener},
    time::{Duration, Instant},
};

use anyhow::Context;
use comfreyramp_peers::{
    LinkTiming, LiveAnnouncement, PeerHandler, PeerHeartbeat, PeerLink, PeerRequest,
    SettingsAnswer, SettingsRequest,
};
use comfreyramp_policy::{
    Heartbeat, Incarnation, NoticeAck, ServerKey, SuspectNotice, ZoneId,
    rates::{
        CustomerKey, RateAnswer, RateRequest, Slice, SliceOffer, SliceRequest, TokenAnswer,
        TokenRequest, TokenSettlement, Tokens,
    },
};
use tokio_util::sync::CancellationToken;

const TIMEOUT: Duration = Duration::from_secs(10);
const ROUNDS: u32 = 20_000;

/// Answers immediately, so that only the round trip is measured.
#[derive(Clone)]
struct Echo;

fn heartbeat() -> PeerHeartbeat {
    PeerHeartbeat {
        member: Heartbeat {
            name: "entry-wa-south-1-017".to_owned(),
            zone: ZoneId(1),
            address: "10.20.30.40:7070".to_owned(),
            incarnation: Incarnation(u64::MAX / 3),
            leaving: false,
        },
        settings_revision: 123_456,
        roster_revision: 123_400,
        view_age: Duration::from_millis(750),
    }
}

impl PeerHandler for Echo {
    fn announce(&self, notices: &[LiveAnnouncement]) -> Vec<u32> {
        vec![3; notices.len()]
    }

    fn own_heartbeat(&self) -> PeerHeartbeat {
        heartbeat()
    }

    fn handle_heartbeat(&self, _heartbeat: &PeerHeartbeat) {}

    fn rates(&self, _from: &PeerHeartbeat, request: &RateRequest) -> RateAnswer {
        match request {
            RateRequest::Tokens(_) => RateAnswer::Tokens(TokenAnswer::Granted {
                grant: u64::MAX / 5,
                count: 1,
                settle: false,
            }),
            RateRequest::Slices(wants) => {
                let offers = wants.iter().map(|want| SliceOffer {
                    customer: want.customer,
                    slot: want.slot,
                    loan: want.loan,
                    sent: want.sent,
                    slice: Slice {
                        rate: Tokens::from_f64(12.3),
                        capacity: Tokens::from_f64(24.6),
                    },
                    tokens: Tokens::ONE,
                });
                RateAnswer::Slices(offers.collect())
            }
            RateRequest::Return(_) | RateRequest::Settle(_) => RateAnswer::Done,
        }
    }

    async fn settings(&self, _ask: SettingsRequest) -> Option<SettingsAnswer> {
        None
    }

    fn suspects(&self, _from: &PeerHeartbeat, _notice: SuspectNotice) -> NoticeAck {
        NoticeAck::default()
    }
}

/// Returns the processor time of all threads of this process.
fn processor_time() -> anyhow::Result<Duration> {
    let mut total = 0;
    for task in std::fs::read_dir("/proc/self/task")? {
        let line = std::fs::read_to_string(task?.path().join("schedstat"))?;
        let nanos = line
            .split_whitespace()
            .next()
            .context("an empty schedstat")?;
        total += nanos.parse::<u64>()?;
    }
    Ok(Duration::from_nanos(total))
}

fn start(address: SocketAddr) -> anyhow::Result<(PeerLink, SocketAddr)> {
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let stop = CancellationToken::new();
    let (link, _) = PeerLink::start(listener, Echo, LinkTiming::default(), stop)?;
    Ok((link, address))
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> anyhow::Result<()> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let (asker, _) = start(any_port)?;
    let (_other, address) = start(any_port)?;
    let customer = CustomerKey(u64::MAX / 7);
    let token = TokenRequest {
        customer,
        slot: 9,
        want: 1,
        home: true,
        spent: None,
    };
    let want = SliceRequest {
        customer,
        slot: 9,
        loan: u64::MAX / 3,
        sent: u64::MAX / 9,
    };
    let settlement = TokenSettlement {
        customer,
        slot: 9,
        grant: u64::MAX / 3,
        unspent: 0,
    };
    let requests = [
        ("heartbeat", PeerRequest::Heartbeat(heartbeat())),
        ("tokens", PeerRequest::Rates(RateRequest::Tokens(token))),
        (
            "1 announcement",
            PeerRequest::Announce(vec![LiveAnnouncement {
                server: ServerKey(u64::MAX / 3),
                count: 1,
            }]),
        ),
        (
            "1 slice",
            PeerRequest::Rates(RateRequest::Slices(vec![want; 1])),
        ),
        (
            "16 slices",
            PeerRequest::Rates(RateRequest::Slices(vec![want; 16])),
        ),
        (
            "1 settlement",
            PeerRequest::Rates(RateRequest::Settle(vec![settlement])),
        ),
    ];
    println!(
        "| message | bytes sent | bytes received | processor, µs, both sides | round trip, µs |"
    );
    println!("|---|---|---|---|---|");
    for (name, request) in requests {
        asker.request(address, request.clone(), TIMEOUT).await?;
        let (sent, received) = asker.traffic().totals();
        let (began, processor) = (Instant::now(), processor_time()?);
        for _ in 0..ROUNDS {
            asker.request(address, request.clone(), TIMEOUT).await?;
        }
        let rounds = f64::from(ROUNDS);
        let processor = processor_time()? - processor;
        let totals = asker.traffic().totals();
        println!(
            "| {name} | {:.0} | {:.0} | {:.1} | {:.1} |",
            (totals.0 - sent) as f64 / rounds,
            (totals.1 - received) as f64 / rounds,
            processor.as_secs_f64() * 1e6 / rounds,
            began.elapsed().as_secs_f64() * 1e6 / rounds,
        );
    }
    Ok(())
}
