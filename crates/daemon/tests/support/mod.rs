//! A small fleet within the test process: real daemons, and stand-ins for all
//! other components, on loopback sockets.

#![allow(dead_code, reason = "no test file uses all of it")]

pub(crate) mod answers;
pub(crate) mod daemon_process;
pub(crate) mod engine_process;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use comfreyramp_daemon::{BoundAddresses, EntryDaemon};
use comfreyramp_http::{
    HttpClient, Incoming, MessageBody, Method, Request, Response, StatusCode, collect_limited,
    header,
};
use comfreyramp_settings::{
    CustomerSettings, CutOffPolicy, DaemonSettings, KeySettings, LogSettings, PlatformSettings,
    ServiceKind, ServiceSettings, TeamSettings,
};
use comfreyramp_standins::{
    engine::{EngineOptions, EngineServer, FaultSwitches},
    platform::{SharedPlatform, serve_platform},
    service::{ServiceOptions, ServiceServer},
};
use comfreyramp_store::{ListedVm, VmState};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use tokio::{net::TcpListener, task::JoinHandle};
use tokio_util::sync::CancellationToken;

pub(crate) use answers::WholeAnswer;

/// The token for the operator API of every test fleet.
pub(crate) const TOKEN: &str = "a-token-for-tests";
/// The key of the customer `press`.
pub(crate) const KEY: &str = "cfr-key-of-press-0123456789abcdef";
/// The key of the customer `market`.
pub(crate) const SECOND_KEY: &str = "cfr-key-of-market-0123456789abcdef";
/// The time limit for each wait of a test.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// The daemons, engines and settings that a fleet starts with.
#[derive(Clone, Debug)]
pub(crate) struct FleetPlan {
    /// The availability zone of each daemon.
    pub(crate) daemons: Vec<&'static str>,
    /// The availability zone and the options of each engine.
    pub(crate) engines: Vec<(&'static str, EngineOptions)>,
    /// The team settings, if the fleet starts with any.
    pub(crate) settings: Option<TeamSettings>,
}

impl Default for FleetPlan {
    fn default() -> Self {
        FleetPlan {
            daemons: vec!["zone-1"],
            engines: vec![("zone-1", EngineOptions::default())],
            settings: Some(default_settings()),
        }
    }
}

impl FleetPlan {
    /// Adds a plain service for which the fleet has no server.
    pub(crate) fn with_plain_service(mut self, name: &str) -> Self {
        let settings = self.settings.get_or_insert_with(default_settings);
        settings.services.push(plain_service(name));
        self
    }
}

/// A daemon of the fleet.
#[derive(Debug)]
pub(crate) struct TestDaemon {
    /// The addresses on which the daemon listens.
    pub(crate) addresses: BoundAddresses,
    /// Cancelled to stop the daemon, as SIGTERM would.
    pub(crate) stop: CancellationToken,
    /// The task that runs the daemon.
    pub(crate) task: JoinHandle<anyhow::Result<()>>,
}

/// An engine of the fleet.
#[derive(Debug)]
pub(crate) struct TestEngine {
    /// The address on which the engine listens.
    pub(crate) address: SocketAddr,
    /// The engine stand-in.
    pub(crate) server: Arc<EngineServer>,
    /// Cancelled to stop the engine, which closes all its connections.
    pub(crate) stop: CancellationToken,
}

/// A running fleet, which is stopped on drop.
#[derive(Debug)]
pub(crate) struct TestFleet {
    /// The platform stand-in.
    pub(crate) platform: SharedPlatform,
    /// The address on which the platform listens.
    pub(crate) platform_address: SocketAddr,
    /// The engines.
    pub(crate) engines: Vec<TestEngine>,
    /// The server of the plain service.
    pub(crate) service: Arc<ServiceServer>,
    /// The daemons.
    pub(crate) daemons: Vec<TestDaemon>,
    pub(crate) client: HttpClient,
    stop: CancellationToken,
}

impl Drop for TestFleet {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Returns settings with two customers, a model and a plain service.
pub(crate) fn default_settings() -> TeamSettings {
    TeamSettings {
        customers: vec![customer("press", KEY), customer("market", SECOND_KEY)],
        services: vec![
            ServiceSettings {
                name: "drafts".to_owned(),
                kind: ServiceKind::Engine {
                    models: vec!["demo-model".to_owned()],
                },
                group: "engines".to_owned(),
                timeout_ms: 20_000,
                checks_fencing: false,
            },
            plain_service("proofs"),
        ],
    }
}

/// Returns a plain service whose prefix and group have its name.
fn plain_service(name: &str) -> ServiceSettings {
    ServiceSettings {
        name: name.to_owned(),
        kind: ServiceKind::Plain {
            prefix: format!("/{name}"),
        },
        group: name.to_owned(),
        timeout_ms: 20_000,
        checks_fencing: false,
    }
}

/// Returns a customer with one key and a rate that no test reaches.
pub(crate) fn customer(name: &str, key: &str) -> CustomerSettings {
    CustomerSettings {
        name: name.to_owned(),
        rate: 10_000.0,
        burst: 10_000,
        weight: 1.0,
        keys: vec![KeySettings {
            name: "key-1".to_owned(),
            sha256: hex::encode(Sha256::digest(key.as_bytes())),
        }],
        when_cut: CutOffPolicy::Serve,
        lots_may_delay_live: false,
    }
}

/// Returns the options of an engine that is fast enough for tests.
pub(crate) fn quick_engine() -> EngineOptions {
    EngineOptions::default()
}

/// Returns the body of a chat request.
pub(crate) fn chat(prompt: &str, tokens: u32, stream: bool) -> Value {
    json!({
        "model": "demo-model",
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": tokens,
        "stream": stream,
    })
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    (listener, address)
}

impl TestFleet {
    /// Starts a fleet and waits until its daemons are ready.
    pub(crate) async fn start(plan: FleetPlan) -> TestFleet {
        let stop = CancellationToken::new();
        let platform = SharedPlatform::default();
        let (listener, platform_address) = listen().await;
        tokio::spawn(serve_platform(listener, platform.clone(), stop.clone()));
        let (listener, service_address) = listen().await;
        let service = ServiceServer::new(ServiceOptions::default());
        tokio::spawn(service.clone().run(listener, stop.clone()));
        platform.put_vm(vm("service-1", "zone-1", "proofs", service_address));
        let mut fleet = TestFleet {
            platform,
            platform_address,
            engines: Vec::new(),
            service,
            daemons: Vec::new(),
            client: HttpClient::default(),
            stop,
        };
        for (zone, options) in plan.engines {
            fleet.add_engine(zone, options).await;
        }
        for zone in plan.daemons {
            fleet.add_daemon(zone).await;
        }
        if let Some(settings) = plan.settings {
            let written = fleet.put_settings("studio", 0, &json!(settings)).await;
            assert_eq!(written.status, StatusCode::OK, "{}", written.text());
            for daemon in 0..fleet.daemons.len() {
                fleet.wait_ready(daemon).await;
            }
        }
        fleet
    }

    /// Starts an engine and adds its VM to the platform's list.
    pub(crate) async fn add_engine(&mut self, zone: &str, options: EngineOptions) {
        let (listener, address) = listen().await;
        let name = format!("engine-{}", self.engines.len() + 1);
        let server = EngineServer::new(options);
        let stop = self.stop.child_token();
        tokio::spawn(server.clone().run(listener, stop.clone()));
        self.platform.put_vm(vm(&name, zone, "engines", address));
        self.engines.push(TestEngine {
            address,
            server,
            stop,
        });
    }

    /// Starts a daemon and adds its VM to the platform's list.
    pub(crate) async fn add_daemon(&mut self, zone: &str) {
        let free: SocketAddr = ([127, 0, 0, 1], 0).into();
        let platform = format!("http://{}", self.platform_address);
        let settings = DaemonSettings {
            name: format!("daemon-{}", self.daemons.len() + 1),
            region: "test".to_owned(),
            zone: zone.to_owned(),
            callers: free,
            operators: free,
            peers: free,
            platform: PlatformSettings {
                store: platform.clone(),
                vm_list: platform,
            },
            data_folder: None,
            operators_token: TOKEN.to_owned(),
            log: LogSettings::default(),
            addresses_file: None,
        };
        let daemon = EntryDaemon::bind(settings)
            .await
            .expect("the listeners can be bound");
        let addresses = daemon.addresses();
        let name = format!("daemon-{}", self.daemons.len() + 1);
        let listed = vm(&name, zone, "entry", addresses.peers);
        self.platform.put_vm(listed);
        let stop = self.stop.child_token();
        let task = tokio::spawn(daemon.run(stop.clone()));
        self.daemons.push(TestDaemon {
            addresses,
            stop,
            task,
        });
    }

    /// Writes a team's settings and returns the answer.
    pub(crate) async fn put_settings(
        &self,
        team: &str,
        revision: i64,
        settings: &Value,
    ) -> WholeAnswer {
        let change = json!({ "revision": revision, "settings": settings });
        let path = format!("/settings/{team}");
        self.operators(0, Method::PUT, &path, change.to_string())
            .await
    }

    /// Waits until a daemon is ready and knows a server of each group.
    pub(crate) async fn wait_ready(&self, daemon: usize) {
        let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
        loop {
            let status = self
                .operators(daemon, Method::GET, "/status", String::new())
                .await;
            let status = status.json();
            let servers = status["servers"].as_array().map_or(0, Vec::len);
            if status["ready"] == true && servers > self.engines.len() {
                return;
            }
            assert!(
                tokio::time::Instant::now() < deadline,
                "never ready: {status}"
            );
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Sends a request to a daemon's operator API.
    pub(crate) async fn operators(
        &self,
        daemon: usize,
        method: Method,
        path: &str,
        body: String,
    ) -> WholeAnswer {
        let address = self.daemons[daemon].addresses.operators;
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(header::AUTHORIZATION, format!("Bearer {TOKEN}"))
            .body(MessageBody::from(body))
            .expect("a valid request");
        self.fetch(request).await
    }

    /// Builds a request to a daemon's caller API.
    pub(crate) fn request(
        &self,
        daemon: usize,
        method: Method,
        path: &str,
        key: &str,
        body: impl Into<MessageBody>,
    ) -> Request<MessageBody> {
        let address = self.daemons[daemon].addresses.callers;
        Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(header::AUTHORIZATION, format!("Bearer {key}"))
            .body(body.into())
            .expect("a valid request")
    }

    /// Sends a request and reads the complete answer.
    pub(crate) async fn fetch(&self, request: Request<MessageBody>) -> WholeAnswer {
        let response = self.open(request).await;
        let (head, body) = response.into_parts();
        let body = tokio::time::timeout(WAIT_TIMEOUT, collect_limited(body, usize::MAX)).await;
        let body = body.expect("an answer in time").expect("a whole answer");
        WholeAnswer {
            status: head.status,
            headers: head.headers,
            body,
        }
    }

    /// Sends a request and returns its answer with the body still open.
    pub(crate) async fn open(&self, request: Request<MessageBody>) -> Response<Incoming> {
        let sent = tokio::time::timeout(WAIT_TIMEOUT, self.client.send(request)).await;
        sent.expect("an answer in time").expect("an answer")
    }

    /// Sets the injected faults of an engine.
    pub(crate) async fn set_engine_faults(&self, engine: &TestEngine, faults: &FaultSwitches) {
        let body = serde_json::to_vec(faults).expect("the faults as JSON");
        let request = Request::builder()
            .method(Method::PUT)
            .uri(format!("http://{}/stand-in/faults", engine.address))
            .body(MessageBody::from(body))
            .expect("a valid request");
        let answer = self.fetch(request).await;
        assert!(answer.status.is_success(), "{}", answer.text());
    }

    /// Sends a chat request.
    pub(crate) async fn chat(&self, daemon: usize, key: &str, body: &Value) -> WholeAnswer {
        let path = "/v1/chat/completions";
        self.fetch(self.request(daemon, Method::POST, path, key, body.to_string()))
            .await
    }
}

/// Returns a live VM for the platform's list.
pub(crate) fn vm(name: &str, zone: &str, group: &str, address: SocketAddr) -> ListedVm {
    ListedVm {
        name: name.to_owned(),
        zone: zone.to_owned(),
        group: group.to_owned(),
        address: address.to_string(),
        state: VmState::Live,
    }
}
