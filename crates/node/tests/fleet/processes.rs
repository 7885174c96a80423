//! The processes of a fleet's daemons.

use std::{
    net::SocketAddr,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU8, Ordering},
    time::{Duration, Instant},
};

use comfreyramp_standins::kv::KvEndpoint;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

use super::{Fleet, WAIT_TIMEOUT};

/// A daemon's process, which is killed when this is dropped.
pub(crate) struct DaemonProcess {
    pub(super) child: Child,
    /// The address at which callers reach it; none where it serves no callers.
    pub(crate) caller_address: Option<SocketAddr>,
    pub(super) health_address: SocketAddr,
    pub(super) peer_address: SocketAddr,
    pub(super) metrics_address: SocketAddr,
    /// The daemon's own endpoint of the store, with its own fault injection.
    pub(crate) store_endpoint: KvEndpoint,
    pub(super) data_folder: tempfile::TempDir,
}

impl Fleet {
    /// Returns a daemon's process id.
    pub(crate) fn process_id(&self, daemon: usize) -> u32 {
        self.daemons[daemon].child.id()
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

    /// Returns whether a daemon's process hasn't ended.
    pub(crate) fn is_running(&mut self, daemon: usize) -> bool {
        let ended = self.daemons[daemon].child.try_wait().unwrap();
        ended.is_none()
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
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // A process that has exited already can't be killed.
        let _ = self.child.kill();
        let _ = self.child.wait();
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
