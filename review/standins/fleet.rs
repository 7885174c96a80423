//! The daemons as processes, with the store, the runners and the clients.

use std::{
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Message, send},
    json::{Json, base64, quoted},
    record::Record,
    runner::{Runner, RunnerOptions},
    store::Store,
};

pub const KEY: &str = "2b9wu3fexd9dnn2ctnfz";
const DAEMON: &str = "target/release/comfreyramp-node";
/// How many reads of a batch job may fail.
const MAX_FAILURES: usize = 10;
const START_LIMIT: Duration = Duration::from_secs(15);

pub struct Daemon {
    pub name: String,
    child: Child,
    /// Where clients connect; `None` on a store machine.
    pub front: Option<SocketAddr>,
    ready: SocketAddr,
}

pub struct Fleet {
    pub store: Store,
    pub runners: Vec<Runner>,
    pub daemons: Vec<Daemon>,
    pub record: Record,
    folder: PathBuf,
    second_byte: u8,
    next_host: u8,
}

/// One route of a configuration.
pub struct Route {
    pub name: &'static str,
    pub host: &'static str,
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u32,
    pub attempts: u32,
}

impl Fleet {
    /// Starts the store and the runners.
    pub fn start(record: Record, runners: Vec<RunnerOptions>) -> Fleet {
        let process = std::process::id();
        let second_byte = 16 + (process % 200) as u8;
        let folder = std::env::temp_dir().join(format!("comfreyramp-review-{process}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let listener = TcpListener::bind((ip(second_byte, 1), 0)).expect("a free port");
        let mut fleet = Fleet {
            store: Store::start(listener),
            runners: Vec::new(),
            daemons: Vec::new(),
            record,
            folder,
            second_byte,
            next_host: 10,
        };
        for options in runners {
            let ip = fleet.next_ip();
            let runner = Runner::start(&fleet.store, options, ip, &fleet.record);
            fleet.runners.push(runner);
        }
        fleet
    }

    fn next_ip(&mut self) -> IpAddr {
        self.next_host += 1;
        ip(self.second_byte, self.next_host)
    }

    /// Writes a configuration with these routes.
    pub fn configure(&self, version: u32, routes: &[Route]) {
        let routes: Vec<String> = routes.iter().map(Route::write).collect();
        let routes = routes.join(",");
        let config = format!(
            r#"{{"version":{version},"routes":[{routes}],"services":[{{"name":"drafts","health_path":"/healthz","max_conns":160}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"huka270","api_keys":["{KEY}"],"priority":1,"rate_per_s":91,"burst":91}}]}}"#
        );
        self.store.put("op/config", &config);
        self.record.note(&format!(
            "operator: configuration {version} is acknowledged"
        ));
    }

    /// Starts a daemon with the command of the deploy file.
    pub fn add_daemon(&mut self, name: &str, zone: &str, is_front: bool) {
        let ip = self.next_ip();
        let address = || {
            let listener = TcpListener::bind((ip, 0)).expect("a free port");
            listener.local_addr().expect("an address")
        };
        let (front, ready, peers) = (address(), address(), address());
        let callers = match is_front {
            true => format!(r#""callers":"{front}","health":"{ready}","#),
            false => String::new(),
        };
        let (runs_lots, store) = (!is_front, self.store.address);
        let settings = format!(
            r#"{{"name":"{name}","zone":"{zone}",{callers}"runs_lots":{runs_lots},"peers":"{peers}","metrics":"{ip}:9464","store":{{"address":"{store}","value_bytes":1048576,"shortest_lease_s":1.0}},"live_queue":true,"memory_mb":260,"stop_grace_s":8,"rate_tolerance":{{"window_s":5,"fraction":0.1,"requests":20}},"results_kept_s":120}}"#
        );
        let path = self.folder.join(name);
        fs::write(&path, settings).expect("the settings file");
        let child = start_process(&path);
        self.daemons.push(Daemon {
            name: name.to_owned(),
            child,
            front: is_front.then_some(front),
            ready,
        });
    }

    /// Waits until all daemons for clients are ready.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + START_LIMIT;
        let is_ready = |it: &&Daemon| {
            let limit = Duration::from_secs(1);
            let answer = send(it.ready, "GET /-/readyz", "host: ready\r\n", b"", limit);
            answer.is_some_and(|it| it.status() == 200)
        };
        let fronts = || self.daemons.iter().filter(|it| it.front.is_some());
        while Instant::now() < until {
            if fronts().all(|it| is_ready(&it)) {
                thread::sleep(Duration::from_secs(3));
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    pub fn fronts(&self) -> Vec<(String, SocketAddr)> {
        let fronts = self.daemons.iter();
        fronts
            .filter_map(|it| Some((it.name.clone(), it.front?)))
            .collect()
    }

    /// Submits a batch job at a daemon, and returns the status.
    pub fn submit(&self, front: usize, route: &Route, job: &str, items: &[(&str, &str)]) -> u16 {
        let items = items.iter().map(|(id, body)| {
            let path = format!("{}3/{id}", route.prefix);
            format!(
                r#"{{"id":"{id}","path":"{path}","headers":{{"X-Model":"m","X-Token-Usage":"540,400","X-Prompt-Prefix":"9c2e41:300,{:x}:240"}},"body":"{}","tokens":940}}"#,
                id.len() * 7_919 + id.bytes().map(usize::from).sum::<usize>(),
                base64(body.as_bytes())
            )
        });
        let items: Vec<String> = items.collect();
        let body = format!(r#"{{"items":[{}]}}"#, items.join(","));
        let headers = format!(
            "host: {}\r\napi-key: {KEY}\r\nx-request-id: {job}\r\nx-deadline-ms: 4000\r\ncontent-type: application/json\r\n",
            route.host
        );
        let line = format!("POST {}{job}", route.prefix);
        let answer = self.send(front, &line, &headers, body.as_bytes());
        answer.map_or(0, |it| it.status())
    }

    /// Reads a batch job from a position on.
    pub fn read(&self, front: usize, host: &str, job: &str, after: usize) -> Option<Message> {
        let headers = format!("host: {host}\r\napi-key: {KEY}\r\nx-wait-ms: 500\r\n");
        let line = format!("GET /-/lots/{job}?after={after}");
        self.send(front, &line, &headers, b"")
    }

    /// Sends a request to a daemon and records it with its answer.
    pub fn send(&self, front: usize, line: &str, headers: &str, body: &[u8]) -> Option<Message> {
        let (name, address) = &self.fronts()[front];
        self.record.note(&format!("client sends to {name}: {line}"));
        let answer = send(*address, line, headers, body, Duration::from_secs(5));
        let status = answer.as_ref().map_or(0, Message::status);
        let text = answer
            .as_ref()
            .map_or("", |it| std::str::from_utf8(&it.body).unwrap_or(""));
        let text = quoted(text);
        let shown: String = text.chars().take(300).collect();
        self.record
            .note(&format!("client gets from {name}: {status} {shown}"));
        answer
    }

    /// Reads all results of a batch job that are listed now: id, state and output. Asks the
    /// other daemon after an answer other than 200; `None` if none of them gives the results.
    pub fn results(&self, host: &str, job: &str) -> Option<Vec<(String, String, String)>> {
        let mut results = Vec::new();
        let mut failures = 0;
        loop {
            let front = failures % self.fronts().len();
            let answer = self.read(front, host, job, results.len());
            let Some(answer) = answer.filter(|it| it.status() == 200) else {
                failures += 1;
                if failures > MAX_FAILURES {
                    return None;
                }
                thread::sleep(Duration::from_millis(500));
                continue;
            };
            let page = Json::parse(&answer.body).unwrap_or(Json::Null);
            let listed = page.get("results").list();
            if listed.is_empty() {
                return Some(results);
            }
            let field = |it: &Json, name: &str| it.get(name).text().to_owned();
            let shown = listed
                .iter()
                .map(|it| (field(it, "id"), field(it, "state"), field(it, "output")));
            results.extend(shown);
        }
    }
}

impl Route {
    fn write(&self) -> String {
        let Route {
            name,
            host,
            prefix,
            kind,
            service,
            timeout_ms,
            attempts,
        } = self;
        let (resumable, batch) = match *kind {
            "batch" => (true, r#","completion_target_ms":18000,"retention_s":60"#),
            _ => (false, ""),
        };
        format!(
            r#"{{"name":"{name}","host":"{host}","prefix":"{prefix}","kind":"{kind}","timeout_ms":{timeout_ms},"target_latency_ms":400,"priority":0,"service":"{service}","attempts":{attempts},"public":false,"sticky":true,"resumable":{resumable},"gap_aim_ms":300{batch}}}"#
        )
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for runner in &self.runners {
            runner.stop();
        }
        for daemon in &mut self.daemons {
            let _ = daemon.child.kill();
            let _ = daemon.child.wait();
        }
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn ip(second: u8, last: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, second, 7, last))
}

fn start_process(settings: &PathBuf) -> Child {
    let log = fs::File::create(settings.with_extension("log")).expect("a log file");
    let mut command = Command::new(DAEMON);
    command
        .arg("serve")
        .env_clear()
        .env("COMFREYRAMP_BOOT", settings);
    command
        .stdout(log)
        .stderr(Stdio::null())
        .stdin(Stdio::null());
    // The daemon ends with this process, however that ends.
    // SAFETY: the call only sets an attribute of the new process.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        });
    }
    command.spawn().expect("the daemon is built")
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    fn prctl(option: i32, value: u64) -> i32;
}
