//! A small fleet: the real program as processes, in front of stand-ins.
#![allow(dead_code, reason = "each test file uses a part of it")]
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test ends where its fleet can't start"
)]

use std::{
    net::SocketAddr,
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    time::{Duration, Instant},
};

use comfreyramp_http::{Bytes, HttpClient, MessageBody, Method, Request, Response, StatusCode};
use comfreyramp_standins::{
    kv::{KvDoor, KvState},
    link::FaultLink,
    runner::{RunnerKind, RunnerOptions, RunnerServer},
};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tokio_util::sync::CancellationToken;

/// The host of all routes.
pub(crate) const HOST: &str = "fleet.example";
/// The key of the first customer.
pub(crate) const KEY: &str = "key-of-press";
/// A second key of the first customer.
pub(crate) const SPARE_KEY: &str = "spare-key-of-press";
/// Nothing in a test may take longer.
const PATIENCE: Duration = Duration::from_secs(20);
/// How long one call may take.
const CALL: Duration = Duration::from_secs(10);
const ANSWER_LIMIT: usize = 16 << 20;
/// The lines of each daemon's log that a failed test shows.
const LAST_LINES: usize = 40;
/// The folder into which a failed test puts the whole logs, if this is set.
const LOG_FOLDER: &str = "FLEET_LOGS";

/// A daemon's process. It is killed by its id when this is dropped.
pub(crate) struct NodeProcess {
    child: Child,
    /// Where callers reach it.
    pub(crate) callers: Option<SocketAddr>,
    health: SocketAddr,
    peers: SocketAddr,
    metrics: SocketAddr,
    /// Its own door to the store.
    pub(crate) door: KvDoor,
    settings: tempfile::TempDir,
}

/// A small fleet.
pub(crate) struct Fleet {
    /// The store.
    pub(crate) store: Arc<KvState>,
    /// The program's processes.
    pub(crate) nodes: Vec<NodeProcess>,
    /// The servers.
    pub(crate) runners: Vec<Arc<RunnerServer>>,
    /// The links to servers, to the store and from callers, if there are any.
    pub(crate) links: Vec<FaultLink>,
    has_links: bool,
    version: u64,
    stop: CancellationToken,
    client: HttpClient,
}

/// Callers of a fleet. They ask also while something is done to it.
#[derive(Clone)]
pub(crate) struct Callers {
    /// Where each daemon is reached that has callers.
    doors: Vec<Option<SocketAddr>>,
    client: HttpClient,
}

/// A request of a caller.
pub(crate) struct Ask<'a> {
    pub(crate) method: Method,
    pub(crate) path: &'a str,
    pub(crate) id: &'a str,
    pub(crate) key: &'a str,
    /// How long a reader of a lot waits for results.
    pub(crate) wait_ms: u64,
    pub(crate) body: &'a [u8],
}

impl<'a> Ask<'a> {
    pub(crate) fn post(path: &'a str, id: &'a str, body: &'a [u8]) -> Self {
        Ask {
            method: Method::POST,
            path,
            id,
            key: KEY,
            wait_ms: 300,
            body,
        }
    }

    pub(crate) fn get(path: &'a str) -> Self {
        Ask {
            method: Method::GET,
            path,
            id: "read",
            key: KEY,
            wait_ms: 300,
            body: b"",
        }
    }

    pub(crate) fn key(mut self, key: &'a str) -> Self {
        self.key = key;
        self
    }
}

impl Fleet {
    /// Starts two engines, a plain service, and no daemon yet.
    pub(crate) async fn new() -> Fleet {
        let stop = CancellationToken::new();
        let store = Arc::new(KvState::default());
        let engine = RunnerKind::Engine {
            events: 12,
            pause: Duration::from_millis(15),
        };
        let mut runners = Vec::new();
        for (id, service, zone, kind) in [
            ("engine-1", "drafts", "zone-1", engine),
            ("engine-2", "drafts", "zone-2", engine),
            ("plain-1", "proofs", "zone-1", RunnerKind::Plain),
        ] {
            let options = RunnerOptions {
                id: id.to_owned(),
                service: service.to_owned(),
                zone: zone.to_owned(),
                kind,
            };
            runners.push(
                RunnerServer::start(options, &store, stop.clone())
                    .await
                    .unwrap(),
            );
        }
        let mut fleet = Fleet {
            store,
            nodes: Vec::new(),
            runners,
            links: Vec::new(),
            has_links: false,
            version: 0,
            stop,
            client: HttpClient::default(),
        };
        fleet.put_settings(&[KEY, SPARE_KEY], 1_000.0);
        fleet
    }

    /// A fleet with two daemons for callers and one for lots, all ready.
    pub(crate) async fn started() -> Fleet {
        Fleet::new().await.with_nodes().await
    }

    /// The same with a link between any two parts, but for what daemons tell each
    /// other.
    pub(crate) async fn linked() -> Fleet {
        let mut fleet = Fleet::new().await;
        fleet.has_links = true;
        for place in 0..fleet.runners.len() {
            let shown = fleet.link_to(fleet.runners[place].address).await;
            fleet.runners[place].show_at(shown, &fleet.store);
        }
        fleet.with_nodes().await
    }

    /// Where something is reached by way of a link, if this fleet has links.
    async fn link_to(&mut self, address: SocketAddr) -> SocketAddr {
        if !self.has_links {
            return address;
        }
        let link = FaultLink::open(address, self.stop.clone()).await.unwrap();
        let shown = link.address;
        self.links.push(link);
        shown
    }

    async fn with_nodes(mut self) -> Fleet {
        let fleet = &mut self;
        fleet.add_node("entry-1", "zone-1", true).await;
        fleet.add_node("entry-2", "zone-2", true).await;
        fleet.add_node("lots-1", "zone-1", false).await;
        fleet.wait_ready().await;
        self
    }

    /// Writes the operators' settings: the customer has these keys and this rate.
    pub(crate) fn put_settings(&mut self, keys: &[&str], rate: f64) {
        self.put_settings_with(keys, rate, &json!(0));
    }

    /// Writes the operators' settings: so many tokens of the customer's lots may wait.
    pub(crate) fn put_bound(&mut self, bound: &Value) {
        self.put_settings_with(&[KEY, SPARE_KEY], 1_000.0, bound);
    }

    fn put_settings_with(&mut self, keys: &[&str], rate: f64, bound: &Value) {
        self.version += 3;
        let route = |prefix: &str, kind: &str, service: &str, resumable: bool| {
            json!({
                "name": prefix, "host": HOST, "prefix": prefix, "kind": kind, "service": service,
                "timeout_ms": 5_000, "target_latency_ms": 500, "priority": 0, "attempts": 2,
                "public": false, "sticky": false, "resumable": resumable, "gap_aim_ms": 300,
                "completion_target_ms": 15_000, "retention_s": 60, "cap": bound,
            })
        };
        let settings = json!({
            "version": self.version,
            "routes": [
                route("/drafts/", "stream", "drafts", true),
                route("/once/", "stream", "drafts", false),
                route("/proofs/", "safe", "proofs", false),
                route("/lots/", "batch", "drafts", true),
            ],
            "services": [{"name": "drafts"}, {"name": "proofs"}],
            "limits": {
                "max_header_bytes": 16_384, "max_body_bytes": 4_194_304,
                "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000,
            },
            "tenants": [{"name": "press", "api_keys": keys, "rate_per_s": rate, "burst": rate}],
        });
        self.store.put("op/config", settings.to_string().as_bytes());
    }

    /// Starts a daemon, for callers or for lots.
    pub(crate) async fn add_node(&mut self, name: &str, zone: &str, has_callers: bool) {
        let door = KvDoor::open(self.store.clone(), self.stop.clone())
            .await
            .unwrap();
        let [callers, health, peers, metrics] = own_addresses();
        let store = self.link_to(door.address).await;
        let mut settings = json!({
            "name": name, "zone": zone, "peers": peers, "metrics": metrics,
            "runs_lots": !has_callers,
            "store": {
                "address": store, "value_bytes": 1_048_576, "shortest_lease_s": 1.0,
            },
            "stop_grace_s": 8, "results_kept_s": 120,
        });
        if has_callers {
            settings["callers"] = json!(callers);
            settings["health"] = json!(health);
        }
        let folder = tempfile::tempdir().unwrap();
        std::fs::write(folder.path().join("settings"), settings.to_string()).unwrap();
        let child = start_process(&folder);
        let shown_callers = match has_callers {
            true => Some(self.link_to(callers).await),
            false => None,
        };
        self.nodes.push(NodeProcess {
            child,
            callers: shown_callers,
            health,
            peers,
            metrics,
            door,
            settings: folder,
        });
    }

    /// Where other daemons reach a daemon.
    pub(crate) fn peers_of(&self, node: usize) -> SocketAddr {
        self.nodes[node].peers
    }

    /// Kills a daemon at once, as a loss of power would.
    pub(crate) fn kill(&mut self, node: usize) {
        self.nodes[node].child.kill().unwrap();
        self.nodes[node].child.wait().unwrap();
    }

    /// Starts a daemon again that was killed.
    pub(crate) fn restart(&mut self, node: usize) {
        let child = start_process(&self.nodes[node].settings);
        self.nodes[node].child = child;
    }

    /// Takes the port at which a daemon shows its metrics, while it isn't running.
    pub(crate) fn take_metrics_port(&self, node: usize) -> std::net::TcpListener {
        std::net::TcpListener::bind(self.nodes[node].metrics).unwrap()
    }

    /// Starts a daemon again whose log nobody reads.
    pub(crate) fn restart_unread(&mut self, node: usize) {
        self.kill(node);
        let mut command = node_command(&self.nodes[node].settings);
        self.nodes[node].child = command.stdout(Stdio::piped()).spawn().unwrap();
    }

    /// What all daemons logged of a request, a lot or an item, as an operator would
    /// find it by its id.
    pub(crate) async fn logged(&self, id: &str) -> Vec<Value> {
        // Lines are gathered before they are written.
        tokio::time::sleep(Duration::from_millis(400)).await;
        let mut found = Vec::new();
        for node in &self.nodes {
            let log = std::fs::read_to_string(node.settings.path().join("log")).unwrap();
            let lines = log
                .lines()
                .filter_map(|it| serde_json::from_str::<Value>(it).ok());
            let named = |it: &Value| {
                let fields = it["kvs"].as_object();
                fields.is_some_and(|it| it.values().any(|value| value == id))
            };
            found.extend(lines.filter(named));
        }
        found
    }

    /// Asks a daemon to stop.
    pub(crate) fn terminate(&self, node: usize) {
        self.signal(node, Signal::TERM);
    }

    /// Lets a daemon stand still.
    pub(crate) fn pause(&self, node: usize) {
        self.signal(node, Signal::STOP);
    }

    /// Lets a daemon go on that stands still.
    pub(crate) fn resume(&self, node: usize) {
        self.signal(node, Signal::CONT);
    }

    /// Fills the queue of a daemon that stands still with datagrams that say nothing, so
    /// that what others tell it from now on is lost.
    pub(crate) fn fill_queue(&self, node: usize) {
        let socket = std::net::UdpSocket::bind(("127.0.0.1", 0)).unwrap();
        for length in [50_000, 1_000, 1] {
            for _ in 0..1_000 {
                socket
                    .send_to(&vec![0xff; length], self.nodes[node].peers)
                    .unwrap();
            }
        }
    }

    fn signal(&self, node: usize, signal: Signal) {
        let pid = Pid::from_raw(self.nodes[node].child.id() as i32).unwrap();
        kill_process(pid, signal).unwrap();
    }

    /// Waits until a daemon has ended, and returns whether it ended well.
    pub(crate) async fn ended(&mut self, node: usize) -> bool {
        let until = Instant::now() + PATIENCE;
        loop {
            if let Some(status) = self.nodes[node].child.try_wait().unwrap() {
                return status.success();
            }
            assert!(Instant::now() < until, "daemon {node} doesn't end");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until all daemons for callers are ready.
    pub(crate) async fn wait_ready(&self) {
        for node in self.nodes.iter().filter(|it| it.callers.is_some()) {
            let address = node.health;
            self.eventually("a daemon is ready", async || self.is_ready(address).await)
                .await;
        }
    }

    /// Whether a daemon says that it is ready.
    pub(crate) async fn says_ready(&self, node: usize) -> bool {
        self.is_ready(self.nodes[node].health).await
    }

    async fn is_ready(&self, address: SocketAddr) -> bool {
        let request = Request::get(format!("http://{address}/-/readyz"));
        let request = request.body(MessageBody::empty()).unwrap();
        let answer = self.client.exchange(request, CALL, ANSWER_LIMIT).await;
        answer.is_ok_and(|it| it.status() == StatusCode::OK)
    }

    /// What a daemon counts.
    pub(crate) async fn metrics(&self, node: usize) -> String {
        let request = Request::get(format!("http://{}/metrics", self.nodes[node].metrics));
        let request = request.body(MessageBody::empty()).unwrap();
        let answer = self
            .client
            .exchange(request, CALL, ANSWER_LIMIT)
            .await
            .unwrap();
        String::from_utf8_lossy(answer.body()).into_owned()
    }

    /// What a daemon shows another one of a lot, as all there is; nothing where it
    /// can't speak for the lot.
    pub(crate) async fn shown_to_peers(&self, node: usize, lot: &str) -> Option<Value> {
        let address = self.nodes[node].peers;
        let request = Request::get(format!("http://{address}/lots/{lot}/0"));
        let request = request.body(MessageBody::empty()).unwrap();
        let answer = self.client.exchange(request, CALL, ANSWER_LIMIT).await;
        let answer = answer.unwrap();
        (answer.status() == StatusCode::OK).then(|| serde_json::from_slice(answer.body()).unwrap())
    }

    /// Callers of its daemons.
    pub(crate) fn callers(&self) -> Callers {
        Callers {
            doors: self.nodes.iter().map(|it| it.callers).collect(),
            client: self.client.clone(),
        }
    }

    /// Asks a daemon and reads its whole answer; an error where it breaks off.
    pub(crate) async fn ask(&self, node: usize, ask: Ask<'_>) -> Result<Response<Bytes>, String> {
        self.callers().ask(node, ask).await
    }

    /// Hands a lot in, and returns the status of the answer.
    pub(crate) async fn hand_in(
        &self,
        node: usize,
        lot: &str,
        bodies: &[&str],
    ) -> Result<StatusCode, String> {
        self.callers().hand_in(node, lot, bodies).await
    }

    /// Reads a lot's results from a position on.
    pub(crate) async fn read_lot(&self, node: usize, lot: &str, after: usize) -> Option<Value> {
        let path = format!("/-/lots/{lot}?after={after}");
        let answer = self.ask(node, Ask::get(&path)).await.ok()?;
        (answer.status() == StatusCode::OK).then(|| serde_json::from_slice(answer.body()).unwrap())
    }

    /// Reads a lot until it has all its results.
    pub(crate) async fn whole_lot(&self, node: usize, lot: &str) -> Value {
        let until = Instant::now() + PATIENCE;
        loop {
            let page = self.read_lot(node, lot, 0).await;
            if let Some(page) = page.filter(|it| it["next"] == it["total"]) {
                return page;
            }
            assert!(Instant::now() < until, "the lot isn't finished");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Waits until something holds.
    pub(crate) async fn eventually(&self, what: &str, mut holds: impl AsyncFnMut() -> bool) {
        let until = Instant::now() + PATIENCE;
        while !holds().await {
            assert!(Instant::now() < until, "not in time: {what}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

impl Callers {
    /// Asks a daemon and reads its whole answer; an error where it breaks off.
    pub(crate) async fn ask(&self, node: usize, ask: Ask<'_>) -> Result<Response<Bytes>, String> {
        let address = self.doors[node].unwrap();
        let request = Request::builder()
            .method(ask.method)
            .uri(format!("http://{address}{}", ask.path))
            .header("host", HOST)
            .header("x-request-id", ask.id)
            .header("x-deadline-ms", "5000")
            .header("x-wait-ms", ask.wait_ms)
            .header("api-key", ask.key)
            .body(MessageBody::from(ask.body.to_vec()))
            .unwrap();
        let answer = self.client.exchange(request, CALL, ANSWER_LIMIT).await;
        answer.map_err(|error| error.to_string())
    }

    /// Hands a lot in, and returns the status of the answer.
    pub(crate) async fn hand_in(
        &self,
        node: usize,
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
        let answer = self
            .ask(node, Ask::post(&path, lot, body.as_bytes()))
            .await?;
        Ok(answer.status())
    }
}

/// An item of a lot, as it is handed in.
pub(crate) fn item(lot: &str, number: usize, body: &str) -> Value {
    use base64::Engine as _;
    let body = base64::engine::general_purpose::STANDARD.encode(body);
    json!({
        "id": format!("{lot}-{number}"), "path": format!("/lots/{lot}/{number}"),
        "headers": {"X-Model": "m"}, "body": body, "tokens": 10,
    })
}

/// What a whole stream looks like.
pub(crate) fn whole_stream() -> String {
    (1..=12)
        .map(|id| format!("id: {id}\ndata: word {id}\n\n"))
        .collect()
}

/// What the output of an item looks like.
pub(crate) fn whole_output() -> String {
    let words: Vec<String> = (1..=12).map(|id| format!("word {id}")).collect();
    words.join("\n")
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // One that has ended already needs no kill.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Fleet {
    /// Where a test failed, what the daemons logged last tells why.
    fn drop(&mut self) {
        if std::thread::panicking() {
            for node in &self.nodes {
                let path = node.settings.path().join("log");
                let log = std::fs::read_to_string(path).unwrap_or_default();
                let lines: Vec<&str> = log.lines().collect();
                let last = &lines[lines.len().saturating_sub(LAST_LINES)..];
                eprintln!("{}:\n{}", node.peers, last.join("\n"));
                if let Ok(folder) = std::env::var(LOG_FOLDER) {
                    let name = format!("{}-{}.log", std::process::id(), node.peers.ip());
                    // The lines above stand in any case.
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
    node_command(folder).stdout(log).spawn().unwrap()
}

fn node_command(folder: &tempfile::TempDir) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_comfreyramp-node"));
    command
        .arg("serve")
        .arg("--settings")
        .arg(folder.path().join("settings"))
        .stdin(Stdio::null())
        .stderr(Stdio::inherit());
    command
}

/// Addresses of a daemon's own, of the loopback range. With one address for all,
/// a port that was free a moment ago may be in use for some connection by the
/// time that the daemon listens at it.
fn own_addresses() -> [SocketAddr; 4] {
    static DAEMONS: AtomicU8 = AtomicU8::new(1);
    let daemon = DAEMONS.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    let high = 1 + (process / 250 % 250) as u8;
    let low = (process % 250) as u8;
    [7_001, 7_002, 7_003, 7_004].map(|port| SocketAddr::from(([127, high, low, daemon], port)))
}
