//! A small fleet for tests: processes of the real program with in-process stand-ins for the
//! store and the backend servers.
#![allow(dead_code, reason = "no test file uses all of this module")]
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails where its fleet can't start"
)]

use std::{
    net::SocketAddr,
    pin::Pin,
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    time::{Duration, Instant},
};

use comfreyramp_http::{
    Body as _, Bytes, HttpClient, Incoming, MessageBody, Method, Request, Response, StatusCode,
};
use comfreyramp_standins::{
    kv::{KvEndpoint, KvState},
    link::FaultLink,
    runner::{
        BackendKind, BackendOptions, BackendServer, RequestedStream, ScriptedAnswer,
        ScriptedRequest, ScriptedServer,
    },
};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tokio_util::sync::CancellationToken;

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
/// The longest time for which a test waits for a state to be reached.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// The longest duration of one HTTP request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// The number of lines that a failed test prints of the end of each daemon's log.
const LOG_TAIL_LINES: usize = 40;
/// The environment variable that names the folder for the complete logs of a failed test.
const LOG_FOLDER_VARIABLE: &str = "FLEET_LOGS";

/// A daemon's process, which is killed when this is dropped.
pub(crate) struct DaemonProcess {
    child: Child,
    /// The address at which callers reach it; none where it serves no callers.
    pub(crate) caller_address: Option<SocketAddr>,
    health_address: SocketAddr,
    peer_address: SocketAddr,
    metrics_address: SocketAddr,
    /// The daemon's own endpoint of the store, with its own fault injection.
    pub(crate) store_endpoint: KvEndpoint,
    data_folder: tempfile::TempDir,
}

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
    /// The tokens that an engine keeps; 0 if that isn't stated.
    engine_memory: u32,
    /// The prefix of a route that the operators have taken away.
    removed_route: Option<&'static str>,
    /// Whether daemons that are added from now on have a queue for live requests.
    has_live_queue: bool,
    /// The memory of the VMs of daemons that are started from now on, in megabytes. Fleets
    /// with such a bound have a second customer.
    memory_mb: Option<f64>,
    stop: CancellationToken,
    client: HttpClient,
}

/// Sends requests to a fleet's daemons, also while the fleet itself is borrowed mutably.
#[derive(Clone)]
pub(crate) struct Callers {
    /// The address of each daemon that serves callers.
    addresses: Vec<Option<SocketAddr>>,
    client: HttpClient,
}

/// A request of a caller.
pub(crate) struct CallerRequest<'a> {
    pub(crate) method: Method,
    pub(crate) path: &'a str,
    pub(crate) id: &'a str,
    pub(crate) key: &'a str,
    /// How long the daemon may hold a read of a lot open until results arrive.
    pub(crate) wait_ms: u64,
    pub(crate) body: &'a [u8],
    /// More headers, as pairs of name and value.
    pub(crate) headers: Vec<(&'static str, String)>,
}

impl<'a> CallerRequest<'a> {
    pub(crate) fn post(path: &'a str, id: &'a str, body: &'a [u8]) -> Self {
        CallerRequest {
            method: Method::POST,
            path,
            id,
            key: KEY,
            wait_ms: 300,
            body,
            headers: Vec::new(),
        }
    }

    pub(crate) fn get(path: &'a str) -> Self {
        CallerRequest {
            method: Method::GET,
            path,
            id: "read",
            key: KEY,
            wait_ms: 300,
            body: b"",
            headers: Vec::new(),
        }
    }

    pub(crate) fn key(mut self, key: &'a str) -> Self {
        self.key = key;
        self
    }

    /// Adds a header.
    pub(crate) fn header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.to_owned()));
        self
    }

    /// Takes up the stream that the request `first` began, after an event.
    pub(crate) fn takes_up(self, first: &str, last_event: u64) -> Self {
        self.header("resumes", first)
            .header("last-event-id", &last_event.to_string())
    }
}

impl Fleet {
    /// Starts two engines and a plain service, but no daemon.
    pub(crate) async fn new() -> Fleet {
        let stop = CancellationToken::new();
        let store = Arc::new(KvState::default());
        let engine = BackendKind::Engine {
            events: EVENTS,
            event_interval: Duration::from_millis(15),
        };
        let mut servers = Vec::new();
        for (id, service, zone, kind) in [
            ("engine-1", "drafts", "zone-1", engine),
            ("engine-2", "drafts", "zone-2", engine),
            ("plain-1", "proofs", "zone-1", BackendKind::Plain),
        ] {
            let options = BackendOptions {
                id: id.to_owned(),
                service: service.to_owned(),
                zone: zone.to_owned(),
                kind,
            };
            servers.push(
                BackendServer::start(options, &store, stop.clone())
                    .await
                    .unwrap(),
            );
        }
        let mut fleet = Fleet {
            store,
            daemons: Vec::new(),
            servers,
            links: Vec::new(),
            has_links: false,
            version: 0,
            retention_s: 60,
            engine_memory: 0,
            removed_route: None,
            has_live_queue: false,
            memory_mb: None,
            stop,
            client: HttpClient::default(),
        };
        fleet.put_settings(&[KEY, SPARE_KEY], 1_000.0);
        fleet
    }

    /// Starts a further engine with a version of its software.
    pub(crate) async fn add_engine(&mut self, id: &str, zone: &str, version: &str) {
        let options = BackendOptions {
            id: id.to_owned(),
            service: "drafts".to_owned(),
            zone: zone.to_owned(),
            kind: BackendKind::Engine {
                events: EVENTS,
                event_interval: Duration::from_millis(15),
            },
        };
        let server = BackendServer::start(options, &self.store, self.stop.clone());
        let server = server.await.unwrap();
        server.set_identity(version, 1);
        server.register(&self.store, "ready");
        self.servers.push(server);
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

    /// Writes operators' settings that give the customer these keys and this rate.
    pub(crate) fn put_settings(&mut self, keys: &[&str], rate: f64) {
        self.put_settings_with(keys, rate, &json!(0), 0.0);
    }

    /// Writes operators' settings by which an item is given up after `retention_s` seconds.
    pub(crate) fn put_retention(&mut self, retention_s: u64) {
        self.retention_s = retention_s;
        self.put_settings(&[KEY, SPARE_KEY], 1_000.0);
    }

    /// Writes operators' settings by which an engine keeps this many tokens.
    pub(crate) fn put_engine_memory(&mut self, tokens: u32) {
        self.engine_memory = tokens;
        self.put_settings(&[KEY, SPARE_KEY], 1_000.0);
    }

    /// Bounds the memory of the daemons that are started from now on, and adds a second
    /// customer.
    pub(crate) fn put_memory(&mut self, memory_mb: f64) {
        self.memory_mb = Some(memory_mb);
        self.put_settings(&[KEY, SPARE_KEY], 1_000.0);
    }

    /// Returns a daemon's process id.
    pub(crate) fn process_id(&self, daemon: usize) -> u32 {
        self.daemons[daemon].child.id()
    }

    /// Writes operators' settings without the route with this prefix; with all routes if it
    /// is `None`.
    pub(crate) fn put_without_route(&mut self, prefix: Option<&'static str>) {
        self.removed_route = prefix;
        self.put_settings(&[KEY, SPARE_KEY], 1_000.0);
    }

    /// Writes operators' settings by which a cold engine tolerates `rate` requests a second.
    pub(crate) fn put_cold_rate(&mut self, rate: f64) {
        self.put_settings_with(&[KEY, SPARE_KEY], 1_000.0, &json!(0), rate);
    }

    /// Writes operators' settings that limit the waiting tokens of the customer's lots to
    /// `token_bound`.
    pub(crate) fn put_token_bound(&mut self, token_bound: &Value) {
        self.put_settings_with(&[KEY, SPARE_KEY], 1_000.0, token_bound, 0.0);
    }

    fn put_settings_with(&mut self, keys: &[&str], rate: f64, token_bound: &Value, cold_rate: f64) {
        self.version += 3;
        let cold_start_s = if cold_rate > 0.0 { 3.0 } else { 0.0 };
        let route = |prefix: &str, kind: &str, service: &str, resumable: bool| {
            json!({
                "name": prefix, "host": HOST, "prefix": prefix, "kind": kind, "service": service,
                "timeout_ms": 5_000, "target_latency_ms": if self.has_live_queue { 2_000 } else { 500 },
                "priority": u32::from(prefix == "/once/"), "attempts": 2,
                "public": false, "sticky": false, "resumable": resumable, "gap_aim_ms": 300,
                "completion_target_ms": 15_000, "retention_s": self.retention_s, "cap": token_bound,
            })
        };
        let mut routes = vec![
            route("/drafts/", "stream", "drafts", true),
            route("/once/", "stream", "drafts", false),
            route("/proofs/", "safe", "proofs", false),
            route("/lots/", "batch", "drafts", true),
        ];
        routes.retain(|it| it["prefix"].as_str() != self.removed_route);
        let mut tenants =
            vec![json!({"name": "press", "api_keys": keys, "rate_per_s": rate, "burst": rate})];
        if self.memory_mb.is_some() {
            tenants.push(json!({
                "name": "post", "api_keys": [OTHER_KEY], "rate_per_s": rate, "burst": rate,
            }));
        }
        let settings = json!({
            "version": self.version,
            "routes": routes,
            "services": [
                {
                    "name": "drafts", "cold_start_s": cold_start_s, "cold_per_s": cold_rate,
                    "engine": {"kv_capacity": self.engine_memory},
                },
                {"name": "proofs"},
            ],
            "limits": {
                "max_header_bytes": 16_384, "max_body_bytes": 4_194_304,
                "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000,
            },
            "tenants": tenants,
        });
        self.store.put("op/config", settings.to_string().as_bytes());
    }

    /// Starts a daemon that serves callers, or else one that runs lots.
    pub(crate) async fn add_daemon(&mut self, name: &str, zone: &str, has_callers: bool) {
        let store_endpoint = KvEndpoint::open(self.store.clone(), self.stop.clone())
            .await
            .unwrap();
        let [
            listen_address,
            health_address,
            peer_address,
            metrics_address,
        ] = unique_addresses();
        let store = self.address_through_link(store_endpoint.address).await;
        let mut settings = json!({
            "name": name, "zone": zone, "peers": peer_address, "metrics": metrics_address,
            "runs_lots": !has_callers,
            "store": {
                "address": store, "value_bytes": 1_048_576, "shortest_lease_s": 1.0,
            },
            "stop_grace_s": 8, "results_kept_s": 120,
        });
        if self.has_live_queue {
            settings["live_queue"] = json!(true);
        }
        if let Some(memory_mb) = self.memory_mb {
            settings["memory_mb"] = json!(memory_mb);
        }
        if has_callers {
            settings["callers"] = json!(listen_address);
            settings["health"] = json!(health_address);
        }
        let folder = tempfile::tempdir().unwrap();
        std::fs::write(folder.path().join("settings"), settings.to_string()).unwrap();
        let child = start_process(&folder);
        let reachable_at = match has_callers {
            true => Some(self.address_through_link(listen_address).await),
            false => None,
        };
        self.daemons.push(DaemonProcess {
            child,
            caller_address: reachable_at,
            health_address,
            peer_address,
            metrics_address,
            store_endpoint,
            data_folder: folder,
        });
    }

    /// Returns the address at which callers reach an entry daemon.
    pub(crate) fn caller_address(&self, daemon: usize) -> SocketAddr {
        self.daemons[daemon].caller_address.unwrap()
    }

    /// Returns the address at which other daemons reach a daemon.
    pub(crate) fn peer_address(&self, daemon: usize) -> SocketAddr {
        self.daemons[daemon].peer_address
    }

    /// Kills a daemon without any warning, as a power failure would.
    pub(crate) fn kill(&mut self, daemon: usize) {
        self.daemons[daemon].child.kill().unwrap();
        self.daemons[daemon].child.wait().unwrap();
    }

    /// Starts a daemon again that was killed.
    pub(crate) fn restart(&mut self, daemon: usize) {
        let child = start_process(&self.daemons[daemon].data_folder);
        self.daemons[daemon].child = child;
    }

    /// Occupies the metrics port of a daemon that isn't running.
    pub(crate) fn occupy_metrics_port(&self, daemon: usize) -> std::net::TcpListener {
        std::net::TcpListener::bind(self.daemons[daemon].metrics_address).unwrap()
    }

    /// Restarts a daemon with its log written to a pipe that is never read.
    pub(crate) fn restart_with_unread_log(&mut self, daemon: usize) {
        self.kill(daemon);
        let mut command = daemon_command(&self.daemons[daemon].data_folder);
        self.daemons[daemon].child = command.stdout(Stdio::piped()).spawn().unwrap();
    }

    /// Returns the lines that all daemons logged with the id of a request, a lot or an
    /// item.
    pub(crate) async fn log_lines_with_id(&self, id: &str) -> Vec<Value> {
        // Daemons buffer log lines before they write them.
        tokio::time::sleep(Duration::from_millis(400)).await;
        let mut found = Vec::new();
        for daemon in &self.daemons {
            let log = std::fs::read_to_string(daemon.data_folder.path().join("log")).unwrap();
            let lines = log
                .lines()
                .filter_map(|it| serde_json::from_str::<Value>(it).ok());
            let has_id = |it: &Value| {
                let fields = it["kvs"].as_object();
                fields.is_some_and(|it| it.values().any(|value| value == id))
            };
            found.extend(lines.filter(has_id));
        }
        found
    }

    /// Sends a daemon SIGTERM, which requests a graceful shutdown.
    pub(crate) fn terminate(&self, daemon: usize) {
        self.signal(daemon, Signal::TERM);
    }

    /// Pauses a daemon's process.
    pub(crate) fn pause(&self, daemon: usize) {
        self.signal(daemon, Signal::STOP);
    }

    /// Resumes a paused daemon.
    pub(crate) fn resume(&self, daemon: usize) {
        self.signal(daemon, Signal::CONT);
    }

    /// Fills the receive queue of a paused daemon with invalid datagrams, so that its
    /// peers' messages from now on are dropped.
    pub(crate) fn fill_receive_queue(&self, daemon: usize) {
        let socket = std::net::UdpSocket::bind(("127.0.0.1", 0)).unwrap();
        for length in [50_000, 1_000, 1] {
            for _ in 0..1_000 {
                socket
                    .send_to(&vec![0xff; length], self.daemons[daemon].peer_address)
                    .unwrap();
            }
        }
    }

    fn signal(&self, daemon: usize, signal: Signal) {
        let pid = Pid::from_raw(self.daemons[daemon].child.id() as i32).unwrap();
        kill_process(pid, signal).unwrap();
    }

    /// Waits until a daemon has exited, and returns whether it exited with success.
    pub(crate) async fn exits_cleanly(&mut self, daemon: usize) -> bool {
        let until = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(status) = self.daemons[daemon].child.try_wait().unwrap() {
                return status.success();
            }
            assert!(Instant::now() < until, "daemon {daemon} doesn't exit");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Starts an engine in the first zone that answers by a script until the fleet is gone,
    /// drains the first `drained` of the fleet's own engines, and waits until all daemons
    /// follow the settings and the list of servers.
    pub(crate) async fn add_scripted_engine(
        &self,
        drained: usize,
        script: impl Fn(&ScriptedRequest) -> ScriptedAnswer + Send + Sync + 'static,
    ) -> Arc<ScriptedServer> {
        let server = ScriptedServer::start("scripted-1", script, self.stop.clone());
        let server = server.await.unwrap();
        server.register("drafts", "zone-1", &self.store);
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

    /// Returns a sender of requests to the daemons that have been added so far.
    pub(crate) fn callers(&self) -> Callers {
        Callers {
            addresses: self.daemons.iter().map(|it| it.caller_address).collect(),
            client: self.client.clone(),
        }
    }

    /// Sends a request to a daemon and reads the complete response. Returns an error if the
    /// connection breaks before its end.
    pub(crate) async fn send(
        &self,
        daemon: usize,
        call: CallerRequest<'_>,
    ) -> Result<Response<Bytes>, String> {
        self.callers().send(daemon, call).await
    }

    /// Submits a lot, and returns the status of the response.
    pub(crate) async fn submit_lot(
        &self,
        daemon: usize,
        lot: &str,
        bodies: &[&str],
    ) -> Result<StatusCode, String> {
        self.callers().submit_lot(daemon, lot, bodies).await
    }

    /// Reads a lot's results from a position on; nothing unless the status is 200.
    pub(crate) async fn read_lot(&self, daemon: usize, lot: &str, after: usize) -> Option<Value> {
        let path = format!("/-/lots/{lot}?after={after}");
        let response = self.send(daemon, CallerRequest::get(&path)).await.ok()?;
        (response.status() == StatusCode::OK)
            .then(|| serde_json::from_slice(response.body()).unwrap())
    }

    /// Reads a lot until it has all its results.
    pub(crate) async fn read_finished_lot(&self, daemon: usize, lot: &str) -> Value {
        let until = Instant::now() + WAIT_TIMEOUT;
        loop {
            let page = self.read_lot(daemon, lot, 0).await;
            if let Some(page) = page.filter(|it| it["next"] == it["total"]) {
                return page;
            }
            assert!(Instant::now() < until, "the lot isn't finished");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
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

impl Callers {
    /// Returns a sender that opens new connections.
    pub(crate) fn with_new_connections(mut self) -> Callers {
        self.client = HttpClient::default();
        self
    }

    /// Sends a request to a daemon and reads the complete response. Returns an error if the
    /// connection breaks before its end.
    pub(crate) async fn send(
        &self,
        daemon: usize,
        call: CallerRequest<'_>,
    ) -> Result<Response<Bytes>, String> {
        let request = self.request(daemon, call);
        let response = self
            .client
            .exchange(request, REQUEST_TIMEOUT, MAX_RESPONSE_BYTES)
            .await;
        response.map_err(|error| error.to_string())
    }

    /// Sends a request to a daemon and returns the response with its body unread.
    pub(crate) async fn open(
        &self,
        daemon: usize,
        call: CallerRequest<'_>,
    ) -> Result<Response<Incoming>, String> {
        let request = self.request(daemon, call);
        let response = self.client.send_within(REQUEST_TIMEOUT, request).await;
        response.map_err(|error| error.to_string())
    }

    fn request(&self, daemon: usize, call: CallerRequest<'_>) -> Request<MessageBody> {
        let address = self.addresses[daemon].unwrap();
        let mut request = Request::builder()
            .method(call.method)
            .uri(format!("http://{address}{}", call.path))
            .header("host", HOST)
            .header("x-request-id", call.id)
            .header("x-deadline-ms", "5000")
            .header("x-wait-ms", call.wait_ms)
            .header("api-key", call.key);
        for (name, value) in call.headers {
            if let Some(headers) = request.headers_mut() {
                headers.insert(name, value.parse().unwrap());
            }
        }
        request.body(MessageBody::from(call.body.to_vec())).unwrap()
    }

    /// Submits a lot, and returns the status of the response.
    pub(crate) async fn submit_lot(
        &self,
        daemon: usize,
        lot: &str,
        bodies: &[&str],
    ) -> Result<StatusCode, String> {
        let items: Vec<Value> = bodies
            .iter()
            .enumerate()
            .map(|(number, body)| item(lot, number, body))
            .collect();
        let body = json!({"items": items}).to_string();
        let path = format!("/lots/{lot}");
        let response = self
            .send(daemon, CallerRequest::post(&path, lot, body.as_bytes()))
            .await?;
        Ok(response.status())
    }
}

/// Returns the next bytes of a response's body; nothing once it has ended or broken off.
pub(crate) async fn next_bytes(body: &mut Incoming) -> Option<Bytes> {
    loop {
        let frame = std::future::poll_fn(|it| Pin::new(&mut *body).poll_frame(it)).await;
        if let Ok(data) = frame?.ok()?.into_data() {
            return Some(data);
        }
    }
}

/// Returns an item of a lot as it is submitted.
pub(crate) fn item(lot: &str, number: usize, body: &str) -> Value {
    use base64::Engine as _;
    let body = base64::engine::general_purpose::STANDARD.encode(body);
    json!({
        "id": format!("{lot}-{number}"), "path": format!("/lots/{lot}/{number}"),
        "headers": {"X-Model": "m"}, "body": body, "tokens": 10,
    })
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

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // A process that has exited already can't be killed.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
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

fn start_process(folder: &tempfile::TempDir) -> Child {
    let mut options = std::fs::OpenOptions::new();
    let log = options
        .create(true)
        .append(true)
        .open(folder.path().join("log"))
        .unwrap();
    daemon_command(folder).stdout(log).spawn().unwrap()
}

fn daemon_command(folder: &tempfile::TempDir) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_comfreyramp-node"));
    command
        .arg("serve")
        .arg("--settings")
        .arg(folder.path().join("settings"))
        .stdin(Stdio::null())
        .stderr(Stdio::inherit());
    command
}

/// Returns addresses in the loopback range that belong to one daemon alone. If all daemons
/// shared one address, a port that was free a moment ago could be taken by a connection
/// before the daemon listens on it.
fn unique_addresses() -> [SocketAddr; 4] {
    static DAEMONS: AtomicU8 = AtomicU8::new(1);
    let daemon = DAEMONS.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    let high = 1 + (process / 250 % 250) as u8;
    let low = (process % 250) as u8;
    [7_001, 7_002, 7_003, 7_004].map(|port| SocketAddr::from(([127, high, low, daemon], port)))
}
