//! A small fleet for tests: processes of the real program with in-process stand-ins for the
//! store and the backend servers.
#![allow(dead_code, reason = "no test file uses all of this module")]
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails where its fleet can't start"
)]

mod callers;
mod processes;
mod settings;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use comfreyramp_http::{HttpClient, MessageBody, Request, StatusCode};
use comfreyramp_standins::{
    kv::KvState,
    link::FaultLink,
    runner::{
        BackendKind, BackendOptions, BackendServer, RequestedStream, ScriptedAnswer,
        ScriptedRequest, ScriptedServer,
    },
};
use serde_json::Value;
use tokio_util::sync::CancellationToken;

#[allow(unused_imports, reason = "no test file uses all of this module")]
pub(crate) use callers::{CallerRequest, Callers, item, next_bytes};
pub(crate) use processes::DaemonProcess;

/// The host of all routes.
pub(crate) const HOST: &str = "fleet.example";
/// The key of the first customer.
pub(crate) const KEY: &str = "key-of-press";
/// Another key of the first customer.
pub(crate) const SPARE_KEY: &str = "spare-key-of-press";
/// The key of the second customer, in fleets that have one.
pub(crate) const OTHER_KEY: &str = "key-of-post";
/// The number of events in a complete stream.
pub(crate) const EVENTS: u64 = 12;
/// The fleet's engines.
const ENGINE: BackendKind = BackendKind::Engine {
    events: EVENTS,
    event_interval: Duration::from_millis(15),
};
/// The longest time for which a test waits for a state to be reached.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// The longest duration of one HTTP request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// The number of lines that a failed test prints of the end of each daemon's log.
const LOG_TAIL_LINES: usize = 40;
/// The environment variable that names the folder for the complete logs of a failed test.
const LOG_FOLDER_VARIABLE: &str = "FLEET_LOGS";

/// Daemons with their store and backend servers.
pub(crate) struct Fleet {
    pub(crate) store: Arc<KvState>,
    pub(crate) daemons: Vec<DaemonProcess>,
    /// The backend servers: two engines and a plain service.
    pub(crate) servers: Vec<Arc<BackendServer>>,
    /// The links to servers, to the store and from callers; empty in a fleet without links.
    pub(crate) links: Vec<FaultLink>,
    has_links: bool,
    version: u64,
    /// How long an item is kept before it may be given up, in seconds.
    retention_s: u64,
    /// The timeout of all routes, in milliseconds.
    timeout_ms: u64,
    /// The tokens that an engine keeps; 0 if that isn't stated.
    engine_memory: u32,
    /// The prefix of a route that the operators have taken away.
    removed_route: Option<&'static str>,
    /// Whether the fleet's host has routes.
    has_routes: bool,
    /// Whether daemons that are added from now on have a queue for live requests.
    has_live_queue: bool,
    /// The memory of the VMs of daemons that are started from now on, in megabytes. Fleets
    /// with such a bound have a second customer.
    memory_mb: Option<f64>,
    stop: CancellationToken,
    client: HttpClient,
}

impl Fleet {
    /// Starts two engines and a plain service, but no daemon.
    pub(crate) async fn new() -> Fleet {
        let mut fleet = Fleet {
            store: Arc::default(),
            daemons: Vec::new(),
            servers: Vec::new(),
            links: Vec::new(),
            has_links: false,
            version: 0,
            retention_s: 60,
            timeout_ms: 5_000,
            engine_memory: 0,
            removed_route: None,
            has_routes: true,
            has_live_queue: false,
            memory_mb: None,
            stop: CancellationToken::new(),
            client: HttpClient::default(),
        };
        for (id, zone) in [("engine-1", "zone-1"), ("engine-2", "zone-2")] {
            fleet.start_server(id, "drafts", zone, ENGINE).await;
        }
        fleet.add_plain_server("plain-1", "zone-1").await;
        fleet.put_settings(&[KEY, SPARE_KEY], 1_000.0);
        fleet
    }

    /// Starts so many further engines, in both zones.
    pub(crate) async fn with_further_engines(mut self, engines: usize) -> Fleet {
        for number in 3..3 + engines {
            let zone = if number % 2 == 0 { "zone-1" } else { "zone-2" };
            self.add_engine(&format!("engine-{number}"), zone, "v1")
                .await;
        }
        self
    }

    /// Starts a further engine with a version of its software.
    pub(crate) async fn add_engine(&mut self, id: &str, zone: &str, version: &str) {
        let server = self.start_server(id, "drafts", zone, ENGINE).await;
        server.set_identity(version, 1);
        server.register(&self.store, "ready");
    }

    /// Starts a further plain server.
    pub(crate) async fn add_plain_server(&mut self, id: &str, zone: &str) {
        self.start_server(id, "proofs", zone, BackendKind::Plain)
            .await;
    }

    /// Starts a server, which registers as ready.
    async fn start_server(
        &mut self,
        id: &str,
        service: &str,
        zone: &str,
        kind: BackendKind,
    ) -> Arc<BackendServer> {
        let options = BackendOptions {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            kind,
        };
        let server = BackendServer::start(options, &self.store, self.stop.clone());
        let server = server.await.unwrap();
        self.servers.push(server.clone());
        server
    }

    /// Starts a fleet with two entry daemons, which serve callers, and one daemon that runs
    /// lots, and waits until the entry daemons are ready.
    pub(crate) async fn started() -> Fleet {
        Fleet::new().await.with_daemons().await
    }

    /// Starts the same fleet with a link on each connection except those between daemons.
    pub(crate) async fn with_links() -> Fleet {
        let mut fleet = Fleet::new().await;
        fleet.has_links = true;
        for index in 0..fleet.servers.len() {
            let link_address = fleet
                .address_through_link(fleet.servers[index].address)
                .await;
            fleet.servers[index].set_published_address(link_address, &fleet.store);
        }
        fleet.with_daemons().await
    }

    /// Returns the address at which a target is reached: that of a new link to it if this
    /// fleet has links, else its own.
    async fn address_through_link(&mut self, address: SocketAddr) -> SocketAddr {
        if !self.has_links {
            return address;
        }
        let link = FaultLink::open(address, self.stop.clone()).await.unwrap();
        let link_address = link.address;
        self.links.push(link);
        link_address
    }

    /// Gives all daemons that are added from now on a queue for live requests, and the routes
    /// an objective that leaves time to wait in it.
    pub(crate) fn with_live_queue(mut self) -> Fleet {
        self.has_live_queue = true;
        self.put_settings(&[KEY, SPARE_KEY], 1_000.0);
        self
    }

    pub(crate) async fn with_daemons(mut self) -> Fleet {
        let fleet = &mut self;
        fleet.add_daemon("entry-1", "zone-1", true).await;
        fleet.add_daemon("entry-2", "zone-2", true).await;
        fleet.add_daemon("lots-1", "zone-1", false).await;
        fleet.wait_ready().await;
        self
    }

    /// Starts an engine in the first zone that answers by a script until the fleet is gone,
    /// drains the first `drained` of the fleet's own engines, and waits until all daemons
    /// follow the settings and the list of servers.
    pub(crate) async fn add_scripted_engine(
        &self,
        drained: usize,
        script: impl Fn(&ScriptedRequest) -> ScriptedAnswer + Send + Sync + 'static,
    ) -> Arc<ScriptedServer> {
        self.add_scripted_server("drafts", drained, script).await
    }

    /// The same for a server of any service.
    pub(crate) async fn add_scripted_server(
        &self,
        service: &str,
        drained: usize,
        script: impl Fn(&ScriptedRequest) -> ScriptedAnswer + Send + Sync + 'static,
    ) -> Arc<ScriptedServer> {
        let server = ScriptedServer::start("scripted-1", script, self.stop.clone());
        let server = server.await.unwrap();
        server.register(service, "zone-1", &self.store);
        for engine in &self.servers[..drained] {
            engine.register(&self.store, "draining");
        }
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        server
    }

    /// Waits until all entry daemons are ready.
    pub(crate) async fn wait_ready(&self) {
        for daemon in self.daemons.iter().filter(|it| it.caller_address.is_some()) {
            let address = daemon.health_address;
            self.eventually("a daemon is ready", async || self.is_ready(address).await)
                .await;
        }
    }

    /// Returns whether a daemon's health endpoint reports it as ready.
    pub(crate) async fn reports_ready(&self, daemon: usize) -> bool {
        self.is_ready(self.daemons[daemon].health_address).await
    }

    async fn is_ready(&self, address: SocketAddr) -> bool {
        let request = Request::get(format!("http://{address}/-/readyz"));
        let request = request.body(MessageBody::empty()).unwrap();
        let response = self
            .client
            .exchange(request, REQUEST_TIMEOUT, MAX_RESPONSE_BYTES)
            .await;
        response.is_ok_and(|it| it.status() == StatusCode::OK)
    }

    /// Returns a daemon's metrics as text.
    pub(crate) async fn metrics(&self, daemon: usize) -> String {
        let request = Request::get(format!(
            "http://{}/metrics",
            self.daemons[daemon].metrics_address
        ));
        let request = request.body(MessageBody::empty()).unwrap();
        let response = self
            .client
            .exchange(request, REQUEST_TIMEOUT, MAX_RESPONSE_BYTES)
            .await
            .unwrap();
        String::from_utf8_lossy(response.body()).into_owned()
    }

    /// Reads a lot as a peer does. Returns nothing where the daemon can't confirm that its
    /// copy is complete.
    pub(crate) async fn read_lot_as_peer(&self, daemon: usize, lot: &str) -> Option<Value> {
        let address = self.daemons[daemon].peer_address;
        let request = Request::get(format!("http://{address}/lots/{lot}/0"));
        let request = request.body(MessageBody::empty()).unwrap();
        let response = self
            .client
            .exchange(request, REQUEST_TIMEOUT, MAX_RESPONSE_BYTES)
            .await;
        let response = response.unwrap();
        (response.status() == StatusCode::OK)
            .then(|| serde_json::from_slice(response.body()).unwrap())
    }

    /// Waits until a condition holds; `what` names it in the message of a failure.
    pub(crate) async fn eventually(&self, what: &str, mut holds: impl AsyncFnMut() -> bool) {
        let until = Instant::now() + WAIT_TIMEOUT;
        while !holds().await {
            assert!(Instant::now() < until, "timed out waiting until {what}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Returns the complete stream of an engine.
pub(crate) fn expected_stream() -> String {
    stream_of(&RequestedStream::default())
}

/// Returns the complete stream of an engine to a request that asks for this one.
pub(crate) fn stream_of(requested: &RequestedStream) -> String {
    (1..=EVENTS).map(|id| requested.event(id)).collect()
}

/// Returns the output of an item that was run to its end.
pub(crate) fn expected_output() -> String {
    output_of(&RequestedStream::default())
}

/// Returns the output of an item that was run to its end and asks for this stream.
pub(crate) fn output_of(requested: &RequestedStream) -> String {
    let words: Vec<String> = (1..=EVENTS).map(|id| requested.data(id)).collect();
    words.join("\n")
}

impl Drop for Fleet {
    /// On a failed test, prints the end of each daemon's log.
    fn drop(&mut self) {
        if std::thread::panicking() {
            for daemon in &self.daemons {
                let path = daemon.data_folder.path().join("log");
                let log = std::fs::read_to_string(path).unwrap_or_default();
                let lines: Vec<&str> = log.lines().collect();
                let last = &lines[lines.len().saturating_sub(LOG_TAIL_LINES)..];
                eprintln!("{}:\n{}", daemon.peer_address, last.join("\n"));
                if let Ok(folder) = std::env::var(LOG_FOLDER_VARIABLE) {
                    let name = format!("{}-{}.log", std::process::id(), daemon.peer_address.ip());
                    // Not essential: the end of the log was printed above.
                    let _ = std::fs::write(std::path::Path::new(&folder).join(name), &log);
                }
            }
        }
        self.stop.cancel();
    }
}
